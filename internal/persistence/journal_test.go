package persistence

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hollymast/control"
)

const minute = 60_000_000

// entries gives n lines of all kinds.
func testEntries(n int) []Entry {
	es := make([]Entry, n)
	for i := range es {
		es[i] = Entry{EntryKind(1 + i%4), control.Micros(i), IdempotencyKey(i * 7), control.ServerID(i % 5)}
	}
	return es
}

func openJournal(t *testing.T, dir string, sync SyncPolicy) (*Journal, []Entry, []string) {
	t.Helper()
	j, es, told, err := OpenJournal(dir, sync, 10*minute, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return j, es, told
}

// A damaged journal gives what stands before the damage and nothing else.
func TestJournalIsReadUpToItsDamage(t *testing.T) {
	es := testEntries(12)
	b := []byte(journalMagic)
	var ends []int
	for _, in := range [][]Entry{es[:1], es[1:5], es[5:12]} {
		b = appendFrame(b, in)
		ends = append(ends, len(b))
	}
	want := func(at int) []Entry {
		switch {
		case at < ends[0]:
			return nil
		case at < ends[1]:
			return es[:1]
		case at < ends[2]:
			return es[:5]
		}
		return es
	}
	for cut := range len(b) + 1 {
		if got, err := ReadJournal(b[:cut]); !slices.Equal(got, want(cut)) || (err == nil) != (slices.Contains(ends, cut) || cut == len(journalMagic)) {
			t.Fatalf("cut at %d: got %d entries, %v", cut, len(got), err)
		}
	}
	for i := range b {
		for bit := range 8 {
			b[i] ^= 1 << bit
			if got, err := ReadJournal(b); !slices.Equal(got, want(i)) || err == nil {
				t.Fatalf("byte %d, bit %d: got %d entries, %v", i, bit, len(got), err)
			}
			b[i] ^= 1 << bit
		}
	}
}

// What a round's end tells as kept is there for the next life.
func TestDurableEntriesAreRead(t *testing.T) {
	for _, sync := range []SyncPolicy{SyncNever, SyncGrouped, SyncEach} {
		dir := t.TempDir()
		es := testEntries(100)
		for life := range 3 {
			j, got, told := openJournal(t, dir, sync)
			if !slices.Equal(got, es[:30*life]) || len(told) > 0 {
				t.Fatalf("life %d: got %d entries, %q", life, len(got), told)
			}
			for i := range 3 {
				at := 30*life + 10*i
				r := j.Append(es[at : at+10]...)
				<-r.Done()
				if r.Err() != nil {
					t.Fatal(r.Err())
				}
			}
			j.Close()
			if r := j.Append(es[0]); r.Err() == nil {
				t.Error("a closed journal took an entry")
			}
		}
	}
}

// A disk that fails keeps rounds waiting, says so once, and once it is well all are kept and that is said.
func TestJournalOnAFailingDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "j")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	heard := make(chan error, 10)
	j, _, _, err := JournalOptions{FileSystem: OSFileSystem{}, Sync: SyncGrouped, Retention: 10 * minute, MaxBytes: 1 << 30, MaxFileBytes: 1, OnFailure: func(err error) { heard <- err }, OnWarning: func(string) {}}.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	first := j.Append(testEntries(1)...)
	<-first.Done()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	second := j.Append(testEntries(2)...) // any file is full: another is to be begun
	if err := <-heard; err == nil || !j.Failing() {
		t.Error("nothing was said")
	}
	select {
	case <-second.Done():
		t.Error("kept where there is no folder")
	case <-time.After(50 * time.Millisecond):
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	<-second.Done()
	if err := <-heard; err != nil {
		t.Error(err)
	}
	j.Close()
	if second.Err() != nil || len(heard) != 0 || j.Failing() || j.Failures() == 0 {
		t.Errorf("%v, %d more, failing %t after %d", second.Err(), len(heard), j.Failing(), j.Failures())
	}
	if j, es, _ := openJournal(t, dir, SyncGrouped); len(es) != 2 {
		t.Errorf("%d entries", len(es))
	} else {
		j.Close()
	}
}

// Files go once all in them is too old, and the oldest beyond the bound of all.
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
	j, es, _ := openJournal(t, dir, SyncNever)
	j.Close()
	if len(es) != 2*len(full) || es[0].At != 13*minute {
		t.Errorf("%d entries, the first of %d", len(es), es[0].At)
	}
	j, _, _, err := OpenJournal(dir, SyncNever, 10*minute, defaultFileBytes, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	if j, es, _ = openJournal(t, dir, SyncNever); len(es) != 0 {
		t.Errorf("%d entries beyond the bound", len(es))
	}
	j.Close()
}

func TestKeyIndex(t *testing.T) {
	m := NewKeyIndex(10*minute, 3)
	m.Add(1, SentAttempt{7, 100})
	m.Add(1, SentAttempt{8, 200})
	m.Add(1, SentAttempt{7, 300})
	m.RemoveNotRun(1, 7) // the last one there
	m.RemoveNotRun(2, 7)
	if got := m.MayHaveRun(1000, 1); !slices.Equal(got, []SentAttempt{{7, 100}, {8, 200}}) {
		t.Errorf("got %v", got)
	}
	if got := m.MayHaveRun(150, 1); !slices.Equal(got, []SentAttempt{{7, 100}, {8, 0}}) { // a clock set back
		t.Errorf("got %v", got)
	}
	m.RemoveNotRun(1, 8)
	m.RemoveNotRun(1, 7)
	if got := m.MayHaveRun(1000, 1); len(got) != 0 {
		t.Errorf("got %v", got)
	}
}

func TestKeyIndexPrunes(t *testing.T) {
	m := NewKeyIndex(10*minute, 3)
	for i := range IdempotencyKey(3) {
		m.Add(i+1, SentAttempt{7, control.Micros(i)})
	}
	m.Add(1, SentAttempt{7, 5 * minute})
	m.Prune(10*minute + 1) // the first was sent again since
	if m.Len() != 2 || len(m.MayHaveRun(11*minute, 1)) != 2 || len(m.MayHaveRun(11*minute, 3)) != 1 {
		t.Errorf("%d known", m.Len())
	}
	for i := range IdempotencyKey(5) {
		m.Add(i+10, SentAttempt{7, 11 * minute})
	}
	m.Prune(11 * minute)
	if m.Len() != 3 || m.Dropped == 0 || len(m.MayHaveRun(11*minute, 14)) != 1 {
		t.Errorf("%d known, %d dropped", m.Len(), m.Dropped)
	}
	m.Prune(22 * minute)
	if m.Len() != 0 || len(m.order)-m.first != 0 {
		t.Errorf("%d known, %d in order", m.Len(), len(m.order)-m.first)
	}
}

// A memory holds what was sent before it was saved; the journal adds what came after, once.
func TestApplyAddsWhatTheStateLacks(t *testing.T) {
	m := &control.LearnedState{SavedAt: 100, LoadCommands: []control.Micros{90}, Servers: []control.LearnedServer{{Server: 5, SlowStartSends: []control.Micros{95}}}}
	marks := ApplyEntries(m, []Entry{{EntryLoadCommand, 90, 0, 5}, {EntrySlowStartSend, 95, 0, 5}, {EntryAttempt, 96, 9, 5}, {EntryLoadCommand, 110, 0, 5}, {EntrySlowStartSend, 120, 0, 5},
		{EntrySlowStartSend, 130, 0, 3}, {EntryAttempt, 131, 11, 3}, {EntryNotRun, 132, 11, 3}}, minute, 100)
	if !slices.Equal(m.LoadCommands, []control.Micros{90, 110}) || len(m.Servers) != 2 || m.Servers[0].Server != 3 ||
		!slices.Equal(m.Servers[0].SlowStartSends, []control.Micros{130}) || !slices.Equal(m.Servers[1].SlowStartSends, []control.Micros{95, 120}) {
		t.Errorf("got %+v", m)
	}
	if len(marks.MayHaveRun(200, 9)) != 1 || len(marks.MayHaveRun(200, 11)) != 0 {
		t.Error("marks are not as journalled")
	}
}

// BenchmarkJournal is what a job waits for its entry, with 16 at once, and how many entries a sync holds.
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
				rounds := make([]*Batch, 16)
				at := time.Now()
				for i := range rounds {
					rounds[i] = j.Append(Entry{EntryAttempt, 1, 1, 1})
				}
				for _, r := range rounds {
					<-r.Done()
				}
				waited += time.Since(at)
				n += len(rounds)
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
