package gateway

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/internal/history"
	"hollymast/internal/invariant"
)

// A router writes its history before it stops, with each request counted once.
func TestHistory(t *testing.T) {
	dir := t.TempDir()
	tg := newTestGatewayWith(t, stateSection(dir)+"[tenant laundry]\nshare = 100\n", serverConfig(0), serverConfig(1))
	for i := range 30 {
		if answer := tg.call(fmt.Sprint(i), "forecast-1", time.Second); answer != invariant.Succeeded {
			t.Fatal(answer)
		}
	}
	tg.call("late", "forecast-2", 5*time.Millisecond)
	tg.stop()
	if err := <-tg.ended; err != nil {
		t.Fatal(err)
	}
	tg.ended <- nil
	sums := map[string]history.Usage{}
	if err := history.NewStore(filepath.Join(dir, HistoryFile), 0).Read(0, 1<<60, func(_ history.Level, r history.Row) error {
		u := sums[r.Function]
		u.Merge(r.Usage)
		sums[r.Function] = u
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if u := sums["forecast-1"]; u.Requests != 30 || u.Succeeded != 30 || u.WithinObjective < 25 || u.Attempts < 30 || u.Loads != 1 || u.Quantile(0.5) < 5000 {
		t.Errorf("got %+v", u)
	}
	if u := sums["forecast-2"]; u.Requests != 1 || u.Succeeded != 0 {
		t.Errorf("got %+v", u)
	}
}

// Batches that can't be written are written later, each exactly once. A file that only looks damaged for a moment is
// not set aside; one that stays damaged is.
func TestHistoryOnFailingDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), HistoryFile)
	var logs strings.Builder
	writer := historyWriter{store: history.NewStore(path, 1e6), log: zerolog.New(&logs)}
	now := int64(1_800_000_000_000_000)
	rows := func() []history.Row {
		return []history.Row{{At: now / history.Minute * history.Minute, Subject: history.Subject{Function: "f"}, Usage: history.Usage{Requests: 1}}}
	}
	write := func() {
		now += 10_000_000
		writer.write(rows(), now)
	}
	write()
	for _, breakFile := range []func() error{
		func() error { return os.Mkdir(path, 0o700) },
		func() error { return os.WriteFile(path, []byte("not to be read just now"), 0o600) },
	} {
		if err := os.Rename(path, path+".well"); err != nil {
			t.Fatal(err)
		}
		if err := breakFile(); err != nil {
			t.Fatal(err)
		}
		for range maxDamagedWrites - 1 {
			write()
		}
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".well", path); err != nil {
			t.Fatal(err)
		}
		write()
	}
	requests := int64(0)
	err := writer.store.Read(0, 1<<60, func(_ history.Level, r history.Row) error { requests += r.Requests; return nil })
	if want := int64(1 + 2*maxDamagedWrites); err != nil || requests != want || len(writer.batches) != 0 {
		t.Errorf("%d requests of %d, %d batches queued, %v", requests, want, len(writer.batches), err)
	}
	if failedCount, recoveredCount := strings.Count(logs.String(), "can't be written"), strings.Count(logs.String(), "is written again"); failedCount != 2 || recoveredCount != 2 || strings.Contains(logs.String(), "aside") {
		t.Errorf("failure logged %d times, recovery %d times: %s", failedCount, recoveredCount, logs.String())
	}
	if err := os.WriteFile(path, []byte("rubbish for good"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range maxDamagedWrites {
		write()
	}
	if err := writer.store.Read(0, 1<<60, func(_ history.Level, r history.Row) error { requests -= r.Requests; return nil }); err != nil || requests != 1+maxDamagedWrites {
		t.Errorf("%d more requests in the new file, %v", requests, err)
	}
	for range 40 {
		writer.batches = append(writer.batches, historyBatch{1, make([]history.Row, 1000)})
	}
	if writer.dropOldest(); len(writer.batches) > maxQueuedRows/1000 {
		t.Errorf("%d batches queued", len(writer.batches))
	}
}
