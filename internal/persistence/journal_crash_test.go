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

// appendedBatch is a batch with the entries that were appended.
type appendedBatch struct {
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

const earlierAt, outdatedAt = 100 * minute, 10 * minute

// writeEarlierFiles writes files of an earlier incarnation: one that is too old, one whose entries count, and one that is cut off in
// its magic.
func writeEarlierFiles(d *faultFS) (counts []Entry) {
	counts = []Entry{{EntryAttempt, earlierAt, 7, 1}, {EntryNotRun, earlierAt + 1, 7, 1}}
	for name, b := range map[string][]byte{
		"journal-00000001": appendFrame([]byte(journalMagic), []Entry{{EntryAttempt, outdatedAt, 9, 1}}),
		"journal-00000002": appendFrame([]byte(journalMagic), counts),
		"journal-00000003": []byte(journalMagic)[:5],
	} {
		i := &inode{data: b, states: slices.Repeat([]byteState{durable}, len(b))}
		d.names["dir/"+name], d.synced["dir/"+name] = i, i
	}
	return counts
}

func testOptions(d *faultFS, sync SyncPolicy, failed func(error)) JournalOptions {
	return JournalOptions{FileSystem: d, Sync: sync, Retention: 10 * minute, MaxBytes: 1 << 20, MaxFileBytes: 300,
		OnStatusChange: failed, OnWarning: func(string) {}, RetryDelay: time.Microsecond}
}

// appendBatches opens a journal and appends to it, until all is done or the file system is killed. Now and again it waits for a batch.
func appendBatches(d *faultFS, sync SyncPolicy, count int) (all []appendedBatch) {
	return appendBatchesWaiting(d, sync, count, func(i int) bool { return i%4 != 3 })
}

func appendBatchesWaiting(d *faultFS, sync SyncPolicy, count int, wait func(i int) bool) (all []appendedBatch) {
	j, _, _, err := testOptions(d, sync, func(error) {}).Open("dir")
	if err != nil {
		return nil
	}
	for i := range count {
		at := control.Micros(earlierAt + 10 + i)
		es := []Entry{{EntryAttempt, at, IdempotencyKey(i + 100), 1}, {EntrySlowStartSend, at, 0, control.ServerID(i)},
			{EntryAdmitted, at, 1, 0}}[:1+i%3]
		r := j.Append(es...)
		all = append(all, appendedBatch{r, es})
		if !wait(i) { // the next entries come while these are on their way
			if i%2 == 0 {
				runtime.Gosched() // else they are of the same batch
			}
			continue
		}
		select {
		case <-r.Done():
		case <-d.crashed:
		case <-time.After(20 * time.Second):
			panic(fmt.Sprintf("a batch never ended: %+v, %s", j, d))
		}
	}
	j.Close()
	return all
}

// checkRecovery checks what the next incarnation reads after a kill or a power cut: all that was reported as durable, each entry once,
// in its order, and nothing else; and that it can append.
func checkRecovery(after *faultFS, sync SyncPolicy, c crash, earlier []Entry, batches []appendedBatch) error {
	j, got, _, err := testOptions(after, sync, func(error) {}).Open("dir")
	if err != nil {
		return err
	}
	got = slices.DeleteFunc(got, func(e Entry) bool { return e.At <= outdatedAt })
	want := slices.Clone(earlier)
	var maybe []Entry
	for _, a := range batches {
		maybe = append(maybe, a.entries...)
		if owed := isClosed(a.done) && a.err == nil && (!c.powerCut || sync != SyncNever) || isClosed(a.written) && !a.lost && !c.powerCut; owed {
			want = append(want, a.entries...)
		}
	}
	maybe = slices.Concat(earlier, maybe)
	at := 0
	for _, e := range got {
		i := slices.Index(maybe[at:], e)
		if i < 0 {
			return fmt.Errorf("%+v is found twice, out of its order, or from nowhere", e)
		}
		at += i + 1
	}
	for _, e := range want {
		if !slices.Contains(got, e) {
			return fmt.Errorf("%+v was reported as durable and is lost", e)
		}
	}
	r := j.Append(Entry{EntryAttempt, earlierAt + 1000, 1000, 1})
	<-r.Done()
	j.Close()
	j, more, _, err := testOptions(after, sync, func(error) {}).Open("dir")
	if err != nil {
		return err
	}
	j.Close()
	if more = slices.DeleteFunc(more, func(e Entry) bool { return e.At <= outdatedAt }); len(more) != len(got)+1 {
		return fmt.Errorf("%d entries, and one more made %d", len(got), len(more))
	}
	return nil
}

// checkRecoveries checks the recovery from each crash.
func checkRecoveries(d *faultFS, sync SyncPolicy, earlier []Entry, batches []appendedBatch) error {
	for _, c := range crashes {
		if err := checkRecovery(d.afterCrash(c), sync, c, earlier, batches); err != nil {
			return fmt.Errorf("%+v: %w; %s", c, err, d)
		}
	}
	return nil
}

var syncPolicies = map[string]SyncPolicy{"never": SyncNever, "grouped": SyncGrouped, "each": SyncEach}

// A kill or a power cut at each call, before, within and after it, loses nothing that was reported as durable.
func TestJournalKilledAtEachCall(t *testing.T) {
	for name, sync := range syncPolicies {
		t.Run(name, func(t *testing.T) {
			bad := 0
			for at, more := 1, true; more; at++ {
				for _, f := range []fault{killedBefore, killedHalf, killedAfter} {
					d := newFaultFS(func(n int, _, _ string) fault {
						if n == at {
							return f
						}
						return noFault
					})
					earlier := writeEarlierFiles(d)
					all := appendBatches(d, sync, 12)
					more = d.isKilled()
					if err := checkRecoveries(d, sync, earlier, all); err != nil {
						if bad++; bad < 5 {
							t.Errorf("killed at call %d (%d): %v", at, f, err)
						}
					}
				}
			}
			if bad > 0 {
				t.Errorf("%d kills lost something", bad)
			}
		})
	}
}

// Each call fails once or for a while, alone or with all of its kind, carried out not at all or by half; then the incarnation ends by a
// kill or a power cut. Nothing reported as durable is lost, all batches end, and no more than one file without entries is left.
func TestJournalWithEachCallFailing(t *testing.T) {
	for name, sync := range syncPolicies {
		t.Run(name, func(t *testing.T) {
			bad, runs := 0, 0
			for _, kind := range []string{"", "create", "write", "sync", "remove", "syncdir", "close", "rename"} {
				for _, long := range []int{1, 3, 40} {
					for _, f := range []fault{failsBefore, failsHalfway} {
						for at := 1; at < 60; at += min(long, 4) {
							d := newFaultFS(func(n int, call, _ string) fault {
								if n >= at && n < at+long && (kind == "" && call != "list" && call != "read" || call == kind) {
									return f
								}
								return noFault
							})
							d.err = []error{syscall.ENOSPC, syscall.EIO}[at%2]
							earlier := writeEarlierFiles(d)
							all := appendBatches(d, sync, 12)
							runs++
							err := checkRecoveries(d, sync, earlier, all)
							for i, a := range all {
								if err == nil && (!isClosed(a.done) || a.err != nil) && i < len(all)-1 {
									err = fmt.Errorf("batch %d: %v", i, a.err)
								}
							}
							if left := emptyFiles(d); err == nil && left > 1 && at+long < d.calls {
								err = fmt.Errorf("%d files without entries: %s", left, d)
							}
							if err != nil {
								if bad++; bad < 5 {
									t.Errorf("%q fails from call %d, %d times (%d): %v", kind, at, long, f, err)
								}
							}
						}
					}
				}
			}
			if bad > 0 {
				t.Errorf("%d of %d runs failed", bad, runs)
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

// However long a directory fails, in whatever way, it never holds more than one file without entries beside the one being begun.
func TestLongFailuresLeaveNoEmptyFiles(t *testing.T) {
	for _, kinds := range []string{"create", "write", "sync", "syncdir", "write remove", "sync remove", "syncdir remove",
		"sync remove rename", "write remove rename", "syncdir remove rename"} {
		t.Run(kinds, func(t *testing.T) {
			const long = 600
			d := newFaultFS(func(n int, call, _ string) fault {
				if n > 20 && n < 20+long && slices.Contains(strings.Fields(kinds), call) {
					return failsBefore
				}
				return noFault
			})
			earlier := writeEarlierFiles(d)
			all := appendBatches(d, SyncGrouped, 12)
			if err := checkRecoveries(d, SyncGrouped, earlier, all); err != nil {
				t.Error(err)
			}
			for i, a := range all {
				if !isClosed(a.done) || a.err != nil {
					t.Errorf("batch %d: %v", i, a.err)
				}
			}
			if n := emptyFiles(d); d.calls < 20+long || n > 1 || d.maxFiles > 12 {
				t.Errorf("%d calls; %d files without entries, %d files at once: %s", d.calls, n, d.maxFiles, d)
			}
		})
	}
}

// Kills at random bytes of what is written. Before them syncs fail at random, and in half of the runs any other call too.
func TestJournalKilledAtChosenBytes(t *testing.T) {
	runs := uint64(500)
	if n, err := strconv.ParseUint(os.Getenv("HOLLYMAST_KILLS"), 10, 64); err == nil {
		runs = n
	}
	for seed := range runs {
		chance := rand.New(rand.NewPCG(seed, 3))
		var d *faultFS
		failing := make([]fault, 2000)
		for i := range failing {
			if chance.IntN(5) == 0 {
				failing[i] = failsBefore + fault(chance.IntN(2))
			}
		}
		until, sync, waits := chance.IntN(2500), []SyncPolicy{SyncGrouped, SyncEach}[seed%2], 1+chance.IntN(12)
		plan := func(n int, call, _ string) fault {
			switch {
			case call == "write" && d.bytes >= until:
				return killedHalf
			case n < len(failing) && (call == "sync" || seed%4 > 1 && call != "list" && call != "read"):
				return failing[n]
			}
			return noFault
		}
		d = newFaultFS(plan)
		earlier := writeEarlierFiles(d)
		all := appendBatchesWaiting(d, sync, 30, func(i int) bool { return i%waits == 0 })
		if err := checkRecoveries(d, sync, earlier, all); err != nil {
			t.Fatalf("seed %d, killed after %d bytes: %v", seed, until, err)
		}
	}
}

// A file that can't be read for a moment at a start is read. One that can't be read for longer is ignored, with a warning.
func TestJournalThatCannotBeReadAtStart(t *testing.T) {
	for times, want := range map[int]int{0: 3, 1: 3, startAttempts - 1: 3, startAttempts + 3: 0} {
		failed := 0
		d := newFaultFS(nil)
		d.plan = func(_ int, call, name string) fault {
			if call == "read" && name == "journal-00000002" && failed < times {
				failed++
				return failsBefore
			}
			return noFault
		}
		d.err = syscall.EIO
		writeEarlierFiles(d)
		j, entries, warnings, err := testOptions(d, SyncGrouped, func(error) {}).Open("dir")
		if err != nil {
			t.Fatal(err)
		}
		j.Close()
		lost := want == 0
		if lost {
			want = 1 // the entry of the file before
		}
		warned := slices.ContainsFunc(warnings, func(line string) bool { return strings.HasSuffix(line, ": ignored") })
		if len(entries) != want || j.Incomplete() != lost || warned != lost {
			t.Errorf("after %d failures: %d entries, incomplete %t, %q", times, len(entries), j.Incomplete(), warnings)
		}
		if _, is := d.names["dir/journal-00000002"]; !is {
			t.Error("what was not read was removed")
		}
	}
}
