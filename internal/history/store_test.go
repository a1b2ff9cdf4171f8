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

const now = 1_796_000_000_000_000 / Day * Day // the beginning of some day

func at(t int64) control.Micros { return control.Micros(t) }

// Whatever is added in whatever order, the sums are preserved, the bound of rows holds and rows are in their levels.
func TestStorePreservesSums(t *testing.T) {
	dir := t.TempDir()
	files := 0
	rapid.Check(t, func(t *rapid.T) {
		files++
		s := NewStore(filepath.Join(dir, fmt.Sprint(files)), int64(rapid.IntRange(200, 2000).Draw(t, "bound")))
		requests, clock := int64(0), now
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
				t.Fatalf("%+v among %ss at %d", r, l.Name, clock)
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		if found != requests || rows > s.maxRows {
			t.Fatalf("%d requests of %d in %d rows of %d", found, requests, rows, s.maxRows)
		}
	})
}

// A damaged file is an error and never a panic; put into quarantine, it makes way for a new one.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "h.db")
	var rows []Row
	for i := range int64(2000) {
		rows = append(rows, Row{At: now - i*Minute, Subject: Subject{"f", ""}, Usage: Usage{Requests: 1}})
	}
	if err := NewStore(name, 1e6).Add(rows, now); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	read := func(name string) (n int64, err error) {
		err = NewStore(name, 1e6).Read(0, now+1, func(_ Level, r Row) error { n += r.Requests; return nil })
		return n, err
	}
	for i, damaged := range [][]byte{intact[:len(intact)/2], intact[:4096], append([]byte("rubbish"), intact[7:]...),
		make([]byte, 1<<15), []byte("x")} {
		broken := filepath.Join(dir, fmt.Sprint(i))
		if err := os.WriteFile(broken, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		n, err := read(broken)
		if err == nil && n != 2000 {
			t.Errorf("damage %d: read %d requests and no error", i, n)
		}
		s := NewStore(broken, 1e6)
		if err := s.Add(rows[:1], now); err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("damage %d: %v", i, err)
			}
			if err := s.Quarantine(now); err != nil {
				t.Fatal(err)
			}
			if err := s.Add(rows[:1], now); err != nil {
				t.Errorf("damage %d: no new file: %v", i, err)
			}
			if n, err := read(broken); n != 1 || err != nil {
				t.Errorf("damage %d: %d requests in the new file, %v", i, n, err)
			}
		}
	}
}

// A batch that may be in the file already counts once, and a later one with the same rows again.
func TestBatchesCountOnce(t *testing.T) {
	s := NewStore(filepath.Join(t.TempDir(), "h.db"), 1e6)
	rows := []Row{{At: now, Subject: Subject{"f", ""}, Usage: Usage{Requests: 1}}}
	for _, batch := range []uint64{5, 5, 6, 6, 0, 0} {
		if err := s.AddOnce(rows, now, batch); err != nil {
			t.Fatal(err)
		}
	}
	requests := int64(0)
	if err := s.Read(0, now+1, func(_ Level, r Row) error { requests += r.Requests; return nil }); err != nil || requests != 4 {
		t.Errorf("%d requests, %v", requests, err)
	}
}

func BenchmarkAdd(b *testing.B) {
	collector := NewCollector()
	for i := range int64(60_000) { // a minute of 1000 requests a second for 1000 functions
		subject := Subject{fmt.Sprint("function-", i%1000), ""}
		collector.AttemptEnded(at(now), subject, control.Outcome{Result: control.Succeeded, CacheStatus: control.CacheHit,
			Duration: control.Micros(1000 + i)})
		collector.RequestDone(at(now), subject, control.NoAction, OnTime)
	}
	batch := collector.Drain()
	s := NewStore(filepath.Join(b.TempDir(), "h.db"), 1e6)
	clock := int64(now)
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
