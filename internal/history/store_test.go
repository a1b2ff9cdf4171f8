package history

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

const startOfDay = 1_796_000_000_000_000 / Day * Day // an arbitrary day

func micros(t int64) control.Micros { return control.Micros(t) }

// Whatever rows are added in whatever order, their sums are preserved, the number of rows is limited, and each row is in the level for its
// age.
func TestStorePreservesSums(t *testing.T) {
	dir := t.TempDir()
	files := 0
	rapid.Check(t, func(t *rapid.T) {
		files++
		s := NewStore(filepath.Join(dir, fmt.Sprint(files)), int64(rapid.IntRange(200, 2000).Draw(t, "bound")))
		requests, clock := int64(0), startOfDay
		for range rapid.IntRange(1, 8).Draw(t, "writes") {
			clock += rapid.Int64Range(0, 20*Day).Draw(t, "pause")
			var rows []Row
			for range rapid.IntRange(0, 60).Draw(t, "rows") {
				r := Row{At: (clock - rapid.Int64Range(0, 3*Hour).Draw(t, "ago")) / Minute * Minute,
					Subject: Subject{fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "function")), ""},
					Usage:   Usage{Requests: int64(rapid.IntRange(1, 9).Draw(t, "requests"))}}
				requests += r.Requests
				rows = append(rows, r)
			}
			if err := s.Add(rows, clock); err != nil {
				t.Fatal(err)
			}
		}
		found, rows := int64(0), int64(0)
		if err := s.Read(0, clock+1, func(l Level, r Row) error {
			found += r.Requests
			rows++
			if r.At%l.Span != 0 || r.At < clock-l.Retention-Day {
				t.Fatalf("row %+v does not belong in level %s at %d", r, l.Name, clock)
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		if found != requests || rows > s.maxRows {
			t.Fatalf("%d requests, want %d; %d rows, at most %d allowed", found, requests, rows, s.maxRows)
		}
	})
}

// A corrupt file causes an error and never a panic; once it is in quarantine, a new file can be created.
func TestCorruptFiles(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "h.db")
	var rows []Row
	for i := range int64(2000) {
		rows = append(rows, Row{At: startOfDay - i*Minute, Subject: Subject{"f", ""}, Usage: Usage{Requests: 1}})
	}
	if err := NewStore(name, 1e6).Add(rows, startOfDay); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	readRequests := func(name string) (n int64, err error) {
		err = NewStore(name, 1e6).Read(0, startOfDay+1, func(_ Level, r Row) error { n += r.Requests; return nil })
		return n, err
	}
	for i, damaged := range [][]byte{intact[:len(intact)/2], intact[:4096], append([]byte("rubbish"), intact[7:]...),
		make([]byte, 1<<15), []byte("x")} {
		path := filepath.Join(dir, fmt.Sprint(i))
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		n, err := readRequests(path)
		if err == nil && n != 2000 {
			t.Errorf("damage %d: read %d requests without an error", i, n)
		}
		s := NewStore(path, 1e6)
		if err := s.Add(rows[:1], startOfDay); err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("damage %d: %v", i, err)
			}
			if err := s.Quarantine(startOfDay); err != nil {
				t.Fatal(err)
			}
			if err := s.Add(rows[:1], startOfDay); err != nil {
				t.Errorf("damage %d: can't write a new file: %v", i, err)
			}
			if n, err := readRequests(path); n != 1 || err != nil {
				t.Errorf("damage %d: %d requests in the new file, %v", i, n, err)
			}
		}
	}
}

// A batch that is added again counts once; a later batch with the same rows counts again.
func TestBatchesCountOnce(t *testing.T) {
	s := NewStore(filepath.Join(t.TempDir(), "h.db"), 1e6)
	rows := []Row{{At: startOfDay, Subject: Subject{"f", ""}, Usage: Usage{Requests: 1}}}
	for _, batch := range []uint64{5, 5, 6, 6, 0, 0} {
		if err := s.AddOnce(rows, startOfDay, batch); err != nil {
			t.Fatal(err)
		}
	}
	requests := int64(0)
	if err := s.Read(0, startOfDay+1, func(_ Level, r Row) error { requests += r.Requests; return nil }); err != nil || requests != 4 {
		t.Errorf("%d requests, %v", requests, err)
	}
}

func BenchmarkAdd(b *testing.B) {
	collector := NewCollector()
	for i := range int64(60_000) { // one minute of 1000 requests per second for 1000 functions
		subject := Subject{fmt.Sprint("function-", i%1000), ""}
		collector.AttemptEnded(micros(startOfDay), subject, control.Outcome{Result: control.Succeeded, CacheStatus: control.CacheHit,
			Duration: control.Micros(1000 + i)})
		collector.RequestDone(micros(startOfDay), subject, control.NoAction, OnTime)
	}
	batch := collector.Drain()
	s := NewStore(filepath.Join(b.TempDir(), "h.db"), 1e6)
	clock := int64(startOfDay)
	for b.Loop() {
		rows := batch.Rows()
		for i := range rows {
			rows[i].At = clock
		}
		if err := s.Add(rows, clock); err != nil {
			b.Fatal(err)
		}
		clock += Minute
	}
	if info, err := os.Stat(s.path); err == nil {
		b.ReportMetric(float64(info.Size())/float64(b.N*1000), "bytes/row")
	}
}
