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

// A router that stops has written its history, each request counted once.
func TestHistory(t *testing.T) {
	dir := t.TempDir()
	tg := newTestGatewayWith(t, stateSection(dir)+"[tenant laundry]\nshare = 100\n", serverOptions(0), serverOptions(1))
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

// What could not be written to the history for a while is written once it can be, each request once; a file that looks
// damaged for a moment is not set aside.
func TestHistoryOnFailingDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), HistoryFile)
	var said strings.Builder
	o := historyWriter{store: history.NewStore(path, 1e6), log: zerolog.New(&said)}
	now := int64(1_800_000_000_000_000)
	rows := func() []history.Row {
		return []history.Row{{At: now / history.Minute * history.Minute, Subject: history.Subject{Function: "f"}, Usage: history.Usage{Requests: 1}}}
	}
	write := func() {
		now += 10_000_000
		o.write(rows(), now)
	}
	write()
	for _, bad := range []func() error{
		func() error { return os.Mkdir(path, 0o700) },
		func() error { return os.WriteFile(path, []byte("not to be read just now"), 0o600) },
	} {
		if err := os.Rename(path, path+".well"); err != nil {
			t.Fatal(err)
		}
		if err := bad(); err != nil {
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
	err := o.store.Read(0, 1<<60, func(_ history.Level, r history.Row) error { requests += r.Requests; return nil })
	if want := int64(1 + 2*maxDamagedWrites); err != nil || requests != want || len(o.batches) != 0 {
		t.Errorf("%d requests of %d, %d batches wait, %v", requests, want, len(o.batches), err)
	}
	if n, m := strings.Count(said.String(), "can't be written"), strings.Count(said.String(), "is written again"); n != 2 || m != 2 || strings.Contains(said.String(), "aside") {
		t.Errorf("said %d and %d times: %s", n, m, said.String())
	}
	if err := os.WriteFile(path, []byte("rubbish for good"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range maxDamagedWrites {
		write()
	}
	if err := o.store.Read(0, 1<<60, func(_ history.Level, r history.Row) error { requests -= r.Requests; return nil }); err != nil || requests != 1+maxDamagedWrites {
		t.Errorf("%d requests more in a new one, %v", requests, err)
	}
	for range 40 {
		o.batches = append(o.batches, historyBatch{1, make([]history.Row, 1000)})
	}
	if o.dropOldest(); len(o.batches) > maxQueuedRows/1000 {
		t.Errorf("%d batches wait", len(o.batches))
	}
}
