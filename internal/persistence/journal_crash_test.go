package persistence

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollymast/control"
)

// appendedEntries are entries that were appended to a journal, with their batch.
type appendedEntries struct {
	*Batch
	entries []Entry
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

const previousAt, outdatedAt = 100 * minute, 10 * minute

// writePreviousJournal writes files of an earlier incarnation: one that is too old, one with valid entries, and one that is truncated
// within its magic. It returns the valid entries.
func writePreviousJournal(d *faultFS) (validEntries []Entry) {
	validEntries = []Entry{{EntryAttempt, previousAt, 7, 1}, {EntryNotRun, previousAt + 1, 7, 1}}
	for name, b := range map[string][]byte{
		"journal-00000001": appendFrame([]byte(journalMagic), []Entry{{EntryAttempt, outdatedAt, 9, 1}}),
		"journal-00000002": appendFrame([]byte(journalMagic), validEntries),
		"journal-00000003": []byte(journalMagic)[:5],
	} {
		i := &inode{data: b, states: slices.Repeat([]byteState{durable}, len(b))}
		d.names["dir/"+name], d.synced["dir/"+name] = i, i
	}
	return validEntries
}

func testOptions(d *faultFS, sync SyncPolicy, failed func(error)) JournalOptions {
	return JournalOptions{FileSystem: d, Sync: sync, Retention: 10 * minute, MaxBytes: 1 << 20, MaxFileBytes: 300,
		OnStatusChange: failed, OnWarning: func(string) {}, RetryDelay: time.Microsecond}
}

// appendBatches opens a journal and appends batches until count is reached or the file system is killed. It waits for most batches, but
// not for all.
func appendBatches(d *faultFS, sync SyncPolicy, count int) (all []appendedEntries) {
	return appendBatchesWaiting(d, sync, count, func(i int) bool { return i%4 != 3 })
}

func appendBatchesWaiting(d *faultFS, sync SyncPolicy, count int, wait func(i int) bool) (all []appendedEntries) {
	j, _, _, err := testOptions(d, sync, func(error) {}).Open("dir")
	if err != nil {
		return nil
	}
	for i := range count {
		at := control.Micros(previousAt + 10 + i)
		entries := []Entry{{EntryAttempt, at, IdempotencyKey(i + 100), 1}, {EntrySlowStartSend, at, 0, control.ServerID(i)},
			{EntryAdmitted, at, 1, 0}}[:1+i%3]
		batch := j.Append(entries...)
		all = append(all, appendedEntries{batch, entries})
		if !wait(i) { // the next entries are appended while these are being written
			if i%2 == 0 {
				runtime.Gosched() // otherwise they would join the same batch
			}
			continue
		}
		select {
		case <-batch.Done():
		case <-d.crashed:
		case <-time.After(20 * time.Second):
			panic(fmt.Sprintf("batch not done after 20 s: %+v, %s", j, d))
		}
	}
	j.Close()
	return all
}

// checkRecovery checks that the next incarnation, after a kill or a power failure, reads everything that was reported as durable, each
// entry once, in order and nothing else, and that it can append.
func checkRecovery(after *faultFS, sync SyncPolicy, c crash, previousEntries []Entry, batches []appendedEntries) error {
	j, got, _, err := testOptions(after, sync, func(error) {}).Open("dir")
	if err != nil {
		return err
	}
	got = slices.DeleteFunc(got, func(e Entry) bool { return e.At <= outdatedAt })
	want := slices.Clone(previousEntries)
	var possible []Entry
	for _, a := range batches {
		possible = append(possible, a.entries...)
		if required := isClosed(a.done) && a.err == nil && (!c.powerCut || sync != SyncNever) || isClosed(a.written) && !a.lost && !c.powerCut; required {
			want = append(want, a.entries...)
		}
	}
	possible = slices.Concat(previousEntries, possible)
	next := 0
	for _, e := range got {
		i := slices.Index(possible[next:], e)
		if i < 0 {
			return fmt.Errorf("%+v is a duplicate, out of order, or was never appended", e)
		}
		next += i + 1
	}
	for _, e := range want {
		if !slices.Contains(got, e) {
			return fmt.Errorf("%+v was reported as durable and is lost", e)
		}
	}
	batch := j.Append(Entry{EntryAttempt, previousAt + 1000, 1000, 1})
	<-batch.Done()
	j.Close()
	j, more, _, err := testOptions(after, sync, func(error) {}).Open("dir")
	if err != nil {
		return err
	}
	j.Close()
	if more = slices.DeleteFunc(more, func(e Entry) bool { return e.At <= outdatedAt }); len(more) != len(got)+1 {
		return fmt.Errorf("%d entries before one more was appended, %d after", len(got), len(more))
	}
	return nil
}

// checkRecoveries checks the recovery from each kind of crash.
func checkRecoveries(d *faultFS, sync SyncPolicy, previousEntries []Entry, batches []appendedEntries) error {
	for _, c := range crashes {
		if err := checkRecovery(d.afterCrash(c), sync, c, previousEntries, batches); err != nil {
			return fmt.Errorf("%+v: %w; %s", c, err, d)
		}
	}
	return nil
}

var syncPolicies = map[string]SyncPolicy{"never": SyncNever, "grouped": SyncGrouped, "each": SyncEach}

// A kill or a power failure before, during or after any file system call loses nothing that was reported as durable.
func TestJournalKilledAtEachCall(t *testing.T) {
	for name, sync := range syncPolicies {
		t.Run(name, func(t *testing.T) {
			failureCount := 0
			for at, more := 1, true; more; at++ {
				for _, f := range []fault{killedBefore, killedPartway, killedAfter} {
					d := newFaultFS(func(n int, _, _ string) fault {
						if n == at {
							return f
						}
						return noFault
					})
					previousEntries := writePreviousJournal(d)
					all := appendBatches(d, sync, 12)
					more = d.isKilled()
					if err := checkRecoveries(d, sync, previousEntries, all); err != nil {
						if failureCount++; failureCount < 5 {
							t.Errorf("killed at call %d (%d): %v", at, f, err)
						}
					}
				}
			}
			if failureCount > 0 {
				t.Errorf("%d kills failed the check", failureCount)
			}
		})
	}
}

// Each call fails once or several times, alone or with all calls of its kind, without an effect or with a partial one; then the
// incarnation ends by a kill or a power failure. Nothing reported as durable is lost, all batches complete, and at most one file without
// entries is left.
func TestJournalWithEachCallFailing(t *testing.T) {
	for name, sync := range syncPolicies {
		t.Run(name, func(t *testing.T) {
			failureCount, runs := 0, 0
			for _, kind := range []string{"", "create", "write", "sync", "remove", "syncdir", "close", "rename"} {
				for _, failingCalls := range []int{1, 3, 40} {
					for _, f := range []fault{failsBefore, failsPartway} {
						for at := 1; at < 60; at += min(failingCalls, 4) {
							d := newFaultFS(func(n int, call, _ string) fault {
								if n >= at && n < at+failingCalls && (kind == "" && call != "list" && call != "read" || call == kind) {
									return f
								}
								return noFault
							})
							d.err = []error{syscall.ENOSPC, syscall.EIO}[at%2]
							previousEntries := writePreviousJournal(d)
							all := appendBatches(d, sync, 12)
							runs++
							err := checkRecoveries(d, sync, previousEntries, all)
							for i, a := range all {
								if err == nil && (!isClosed(a.done) || a.err != nil) && i < len(all)-1 {
									err = fmt.Errorf("batch %d: %v", i, a.err)
								}
							}
							if empty := emptyFiles(d); err == nil && empty > 1 && at+failingCalls < d.calls {
								err = fmt.Errorf("%d files without entries: %s", empty, d)
							}
							if err != nil {
								if failureCount++; failureCount < 5 {
									t.Errorf("%q fails from call %d, %d times (%d): %v", kind, at, failingCalls, f, err)
								}
							}
						}
					}
				}
			}
			if failureCount > 0 {
				t.Errorf("%d of %d runs failed", failureCount, runs)
			}
		})
	}
}

// emptyFiles counts the files without entries.
func emptyFiles(d *faultFS) (n int) {
	for _, i := range d.names {
		if es, _ := ReadJournal(i.data); len(es) == 0 {
			n++
		}
	}
	return n
}

// However long and in whatever way a directory fails, it never holds more than one file without entries besides the one being created.
func TestLongFailuresLeaveNoEmptyFiles(t *testing.T) {
	for _, kinds := range []string{"create", "write", "sync", "syncdir", "write remove", "sync remove", "syncdir remove",
		"sync remove rename", "write remove rename", "syncdir remove rename"} {
		t.Run(kinds, func(t *testing.T) {
			const failingCalls = 600
			d := newFaultFS(func(n int, call, _ string) fault {
				if n > 20 && n < 20+failingCalls && slices.Contains(strings.Fields(kinds), call) {
					return failsBefore
				}
				return noFault
			})
			previousEntries := writePreviousJournal(d)
			all := appendBatches(d, SyncGrouped, 12)
			if err := checkRecoveries(d, SyncGrouped, previousEntries, all); err != nil {
				t.Error(err)
			}
			for i, a := range all {
				if !isClosed(a.done) || a.err != nil {
					t.Errorf("batch %d: %v", i, a.err)
				}
			}
			if n := emptyFiles(d); d.calls < 20+failingCalls || n > 1 || d.maxFiles > 12 {
				t.Errorf("%d calls; %d files without entries, %d files at once: %s", d.calls, n, d.maxFiles, d)
			}
		})
	}
}

// The process is killed after a random number of written bytes. Before that, syncs fail at random, and in half of the runs other calls do
// too.
func TestJournalKilledAtChosenBytes(t *testing.T) {
	runs := uint64(500)
	if n, err := strconv.ParseUint(os.Getenv("HOLLYMAST_KILLS"), 10, 64); err == nil {
		runs = n
	}
	for seed := range runs {
		random := rand.New(rand.NewPCG(seed, 3))
		var d *faultFS
		plannedFaults := make([]fault, 2000)
		for i := range plannedFaults {
			if random.IntN(5) == 0 {
				plannedFaults[i] = failsBefore + fault(random.IntN(2))
			}
		}
		killAfterBytes, sync, waitEvery := random.IntN(2500), []SyncPolicy{SyncGrouped, SyncEach}[seed%2], 1+random.IntN(12)
		plan := func(n int, call, _ string) fault {
			switch {
			case call == "write" && d.bytes >= killAfterBytes:
				return killedPartway
			case n < len(plannedFaults) && (call == "sync" || seed%4 > 1 && call != "list" && call != "read"):
				return plannedFaults[n]
			}
			return noFault
		}
		d = newFaultFS(plan)
		previousEntries := writePreviousJournal(d)
		all := appendBatchesWaiting(d, sync, 30, func(i int) bool { return i%waitEvery == 0 })
		if err := checkRecoveries(d, sync, previousEntries, all); err != nil {
			t.Fatalf("seed %d, killed after %d bytes: %v", seed, killAfterBytes, err)
		}
	}
}

// During startup, a file that can't be read for a short time is read by a retry. One that can't be read for longer is ignored with a
// warning.
func TestJournalThatCannotBeReadAtStart(t *testing.T) {
	for failures, want := range map[int]int{0: 3, 1: 3, maxStartAttempts - 1: 3, maxStartAttempts + 3: 0} {
		failed := 0
		d := newFaultFS(nil)
		d.plan = func(_ int, call, name string) fault {
			if call == "read" && name == "journal-00000002" && failed < failures {
				failed++
				return failsBefore
			}
			return noFault
		}
		d.err = syscall.EIO
		writePreviousJournal(d)
		j, entries, warnings, err := testOptions(d, SyncGrouped, func(error) {}).Open("dir")
		if err != nil {
			t.Fatal(err)
		}
		j.Close()
		lost := want == 0
		if lost {
			want = 1 // the entry of the preceding file
		}
		warned := slices.ContainsFunc(warnings, func(line string) bool { return strings.HasSuffix(line, ": ignored") })
		if len(entries) != want || j.Incomplete() != lost || warned != lost {
			t.Errorf("after %d failures: %d entries, incomplete %t, %q", failures, len(entries), j.Incomplete(), warnings)
		}
		if _, exists := d.names["dir/journal-00000002"]; !exists {
			t.Error("the unreadable file was removed")
		}
	}
}
