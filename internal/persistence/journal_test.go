package persistence

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hollymast/control"
)

const minute = 60_000_000

// testEntries returns n entries of several kinds.
func testEntries(n int) []Entry {
	es := make([]Entry, n)
	for i := range es {
		es[i] = Entry{EntryKind(1 + i%4), control.Micros(i), IdempotencyKey(i * 7), control.ServerID(i % 5)}
	}
	return es
}

func openJournal(t *testing.T, dir string, sync SyncPolicy) (*Journal, []Entry, []string) {
	t.Helper()
	j, es, warnings, err := OpenJournal(dir, sync, 10*minute, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return j, es, warnings
}

// What a batch reports as durable is there for the next incarnation.
func TestDurableEntriesAreRead(t *testing.T) {
	for _, sync := range []SyncPolicy{SyncNever, SyncGrouped, SyncEach} {
		dir := t.TempDir()
		es := testEntries(100)
		for incarnation := range 3 {
			j, got, warnings := openJournal(t, dir, sync)
			if !slices.Equal(got, es[:30*incarnation]) || len(warnings) > 0 {
				t.Fatalf("incarnation %d: got %d entries, %q", incarnation, len(got), warnings)
			}
			for i := range 3 {
				at := 30*incarnation + 10*i
				r := j.Append(es[at : at+10]...)
				<-r.Done()
				if r.Err() != nil {
					t.Fatal(r.Err())
				}
			}
			j.Close()
			if b := j.Append(es[0]); !errors.Is(b.Err(), ErrOverflow) {
				t.Errorf("a closed journal took an entry: %v", b.Err())
			}
		}
	}
}

// While a disk fails batches wait and that is reported once; when it works again all are written and that is reported.
func TestJournalOnAFailingDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "j")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	failures := make(chan error, 10)
	j, _, _, err := JournalOptions{FileSystem: OSFileSystem{}, Sync: SyncGrouped, Retention: 10 * minute, MaxBytes: 1 << 30,
		MaxFileBytes: 1, OnStatusChange: func(err error) { failures <- err }, OnWarning: func(string) {}}.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	first := j.Append(testEntries(1)...)
	<-first.Done()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	second := j.Append(testEntries(2)...) // with MaxFileBytes of 1 another file begins
	if err := <-failures; err == nil || !j.Failing() {
		t.Error("no failure was reported")
	}
	for j.FailureCount() < 5 { // each is a write that was tried again
		select {
		case <-second.Done():
			t.Fatal("written where there is no directory")
		case <-time.After(time.Millisecond):
		}
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	<-second.Done()
	if err := <-failures; err != nil {
		t.Error(err)
	}
	j.Close()
	if second.Err() != nil || len(failures) != 0 || j.Failing() || j.FailureCount() == 0 {
		t.Errorf("%v, %d more, failing %t after %d", second.Err(), len(failures), j.Failing(), j.FailureCount())
	}
	if j, es, _ := openJournal(t, dir, SyncGrouped); len(es) != 2 {
		t.Errorf("%d entries", len(es))
	} else {
		j.Close()
	}
}

// Files are removed once all their entries are too old, and the oldest beyond the bound of all.
func TestOldFilesAreRemoved(t *testing.T) {
	dir := t.TempDir()
	j, _, _ := openJournal(t, dir, SyncNever)
	full := make([]Entry, defaultFileBytes/entryBytes)
	for _, at := range []control.Micros{1, 2 * minute, 13 * minute, 14 * minute} {
		for i := range full {
			full[i] = Entry{Kind: EntryAttempt, At: at}
		}
		<-j.Append(full...).Done()
	}
	j.Close()
	j, entries, _ := openJournal(t, dir, SyncNever)
	j.Close()
	if len(entries) != 2*len(full) || entries[0].At != 13*minute {
		t.Errorf("%d entries, the first of %d", len(entries), entries[0].At)
	}
	j, _, _, err := OpenJournal(dir, SyncNever, 10*minute, defaultFileBytes, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	if j, entries, _ = openJournal(t, dir, SyncNever); len(entries) != 0 {
		t.Errorf("%d entries beyond the bound", len(entries))
	}
	j.Close()
}

// BenchmarkJournal measures how long 16 concurrent requests wait for their entries, and how many entries a sync covers.
func BenchmarkJournal(b *testing.B) {
	for name, sync := range map[string]SyncPolicy{"never": SyncNever, "grouped": SyncGrouped, "each": SyncEach} {
		b.Run(name, func(b *testing.B) {
			j, _, _, err := OpenJournal(b.TempDir(), sync, 10*minute, 1<<30, func(err error) { b.Error(err) })
			if err != nil {
				b.Fatal(err)
			}
			waited := time.Duration(0)
			begun := time.Now()
			n := 0
			for b.Loop() {
				batches := make([]*Batch, 16)
				at := time.Now()
				for i := range batches {
					batches[i] = j.Append(Entry{EntryAttempt, 1, 1, 1})
				}
				for _, b := range batches {
					<-b.Done()
				}
				waited += time.Since(at)
				n += len(batches)
			}
			b.ReportMetric(float64(n)/time.Since(begun).Seconds(), "entries/s")
			b.ReportMetric(float64(waited.Microseconds())/float64(n/16), "us/wait")
			j.Close()
			if j.syncCount > 0 {
				b.ReportMetric(float64(n)/float64(j.syncCount), "entries/sync")
			}
		})
	}
}
