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

// testEntries returns n entries of different kinds.
func testEntries(n int) []Entry {
	entries := make([]Entry, n)
	for i := range entries {
		entries[i] = Entry{EntryKind(1 + i%4), control.Micros(i), IdempotencyKey(i * 7), control.ServerID(i % 5)}
	}
	return entries
}

func openJournal(t *testing.T, dir string, sync SyncPolicy) (*Journal, []Entry, []string) {
	t.Helper()
	j, entries, warnings, err := OpenJournal(dir, sync, 10*minute, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return j, entries, warnings
}

// Entries whose batch is reported as durable are read by the next incarnation.
func TestDurableEntriesAreRead(t *testing.T) {
	for _, sync := range []SyncPolicy{SyncNever, SyncGrouped, SyncEach} {
		dir := t.TempDir()
		entries := testEntries(100)
		for incarnation := range 3 {
			j, got, warnings := openJournal(t, dir, sync)
			if !slices.Equal(got, entries[:30*incarnation]) || len(warnings) > 0 {
				t.Fatalf("incarnation %d: got %d entries, %q", incarnation, len(got), warnings)
			}
			for i := range 3 {
				at := 30*incarnation + 10*i
				batch := j.Append(entries[at : at+10]...)
				<-batch.Done()
				if batch.Err() != nil {
					t.Fatal(batch.Err())
				}
			}
			j.Close()
			if b := j.Append(entries[0]); !errors.Is(b.Err(), ErrOverflow) {
				t.Errorf("a closed journal accepted an entry: %v", b.Err())
			}
		}
	}
}

// While a disk fails, batches wait, and the failure is reported once; when it works again, all batches are written and the recovery is
// reported.
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
	second := j.Append(testEntries(2)...) // goes into another file, since MaxFileBytes is 1
	if err := <-failures; err == nil || !j.Failing() {
		t.Error("no failure was reported")
	}
	for j.FailureCount() < 5 { // each failure is a retried write
		select {
		case <-second.Done():
			t.Fatal("done although the directory does not exist")
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
		t.Errorf("error %v, %d more reports, failing %t after %d failures", second.Err(), len(failures), j.Failing(), j.FailureCount())
	}
	if j, entries, _ := openJournal(t, dir, SyncGrouped); len(entries) != 2 {
		t.Errorf("%d entries", len(entries))
	} else {
		j.Close()
	}
}

// Files are removed once all their entries are too old, and the oldest files beyond MaxBytes are removed too.
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
		t.Errorf("%d entries, the first at %d", len(entries), entries[0].At)
	}
	j, _, _, err := OpenJournal(dir, SyncNever, 10*minute, defaultFileBytes, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	if j, entries, _ = openJournal(t, dir, SyncNever); len(entries) != 0 {
		t.Errorf("%d entries beyond MaxBytes", len(entries))
	}
	j.Close()
}

// BenchmarkJournal measures how long 16 concurrent requests wait for their entries to be durable, and how many entries a sync covers.
func BenchmarkJournal(b *testing.B) {
	for name, sync := range map[string]SyncPolicy{"never": SyncNever, "grouped": SyncGrouped, "each": SyncEach} {
		b.Run(name, func(b *testing.B) {
			j, _, _, err := OpenJournal(b.TempDir(), sync, 10*minute, 1<<30, func(err error) { b.Error(err) })
			if err != nil {
				b.Fatal(err)
			}
			waited := time.Duration(0)
			startedAt := time.Now()
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
			b.ReportMetric(float64(n)/time.Since(startedAt).Seconds(), "entries/s")
			b.ReportMetric(float64(waited.Microseconds())/float64(n/16), "us/wait")
			j.Close()
			if j.syncCount > 0 {
				b.ReportMetric(float64(n)/float64(j.syncCount), "entries/sync")
			}
		})
	}
}
