package gateway

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/fleet"
	"hollymast/internal/invariant"
	"hollymast/internal/persistence"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// The attempts of an earlier incarnation count as if this one had begun them: a journal stands for the one that was killed.
func TestRetriesAfterRestart(t *testing.T) {
	dir := t.TempDir()
	config := &Config{Deployment: control.Deployment{Classes: []control.Class{{}, {Idempotency: control.IdempotentByKey}, {Idempotency: control.NonIdempotent}}}}
	mark := func(function, key string, class control.ClassID) persistence.IdempotencyKey {
		return config.journalKey(function, kserve.InferRequest{IdempotencyKey: key}, class)
	}
	j, _, _, err := persistence.OpenJournal(dir, persistence.SyncGrouped, 1<<40, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	now := control.Micros(time.Now().UnixMicro())
	elsewhere := fleet.ID("127.0.0.1:9")
	j.Append(
		persistence.Entry{Kind: persistence.EntryAttempt, At: now, Key: mark("ticket-1", "sent", 2), Server: elsewhere},
		persistence.Entry{Kind: persistence.EntryAttempt, At: now, Key: mark("ticket-1", "proved", 2), Server: elsewhere},
		persistence.Entry{Kind: persistence.EntryNotRun, At: now, Key: mark("ticket-1", "proved", 2), Server: elsewhere},
		persistence.Entry{Kind: persistence.EntryAttempt, At: now - 1_000_000, Key: mark("booking-1", "late", 1), Server: elsewhere},
		persistence.Entry{Kind: persistence.EntryAttempt, At: now + 3_600_000_000, Key: mark("booking-1", "clock set back", 1), Server: elsewhere})
	j.Close()
	tg := newTestGatewayWith(t, stateSection(dir), serverOptions(0), serverOptions(1))
	for i, c := range []struct {
		function, mark, want string
		attempts             int
	}{
		{"ticket-1", "sent", invariant.Failed, 0},
		{"ticket-1", "proved", invariant.Succeeded, 1},
		{"ticket-1", "new", invariant.Succeeded, 1},
		{"ticket-1", "new", invariant.Failed, 0}, // again in the same incarnation
		{"ticket-2", "sent", invariant.Succeeded, 1},
		{"booking-1", "late", invariant.Rejected, 0}, // its window is over, so it is not attempted again
		{"booking-1", "clock set back", invariant.Rejected, 0},
	} {
		job := fmt.Sprint("job-", i)
		if got := tg.callWithKey(job, c.function, c.mark); got != c.want || tg.attemptsBegun(job, -1) != c.attempts {
			t.Errorf("%s, %s: got %s with %d attempts, want %s with %d", c.function, c.mark, got, tg.attemptsBegun(job, -1), c.want, c.attempts)
		}
	}
}

// A request with a key is rejected, and runs nowhere, while the journal stalls or after it was closed.
func TestRequestsWithoutJournal(t *testing.T) {
	tg := newTestGatewayWith(t, stateSection(filepath.Join(t.TempDir(), "m")), serverOptions(0))
	set := func(j *persistence.Journal) (old *persistence.Journal) {
		done := make(chan bool)
		tg.gateway.loop.Post(func(control.Micros) {
			old, tg.gateway.state.Journal = tg.gateway.state.Journal, j
			close(done)
		})
		<-done
		return old
	}
	old := set(&persistence.Journal{}) // no round of it ever ends
	if got := tg.callWithKey("still", "ticket-1", "still"); got != invariant.Rejected || tg.attemptsBegun("still", -1) > 0 {
		t.Errorf("got %s with %d attempts", got, tg.attemptsBegun("still", -1))
	}
	set(old)
	old.Close()
	if got := tg.callWithKey("failing", "ticket-1", "failing"); got != invariant.Rejected || tg.attemptsBegun("failing", -1) > 0 {
		t.Errorf("got %s with %d attempts", got, tg.attemptsBegun("failing", -1))
	}
	if got := tg.call("unmarked", "ticket-1", time.Second); got != invariant.Succeeded {
		t.Errorf("unmarked: got %s", got)
	}
}

// fullDisk is the operating system's file system, which fails while it is full.
type fullDisk struct {
	persistence.OSFileSystem
	full atomic.Bool
}

func (d *fullDisk) Create(path string) (persistence.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := d.OSFileSystem.Create(path)
	return &fullFile{f, d}, err
}

func (d *fullDisk) List(dir string) ([]string, error) {
	if d.full.Load() {
		return nil, syscall.EIO
	}
	return d.OSFileSystem.List(dir)
}

type fullFile struct {
	persistence.File
	d *fullDisk
}

func (f *fullFile) Write(b []byte) (int, error) {
	if f.d.full.Load() {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f *fullFile) Sync() error {
	if f.d.full.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// The wall clock is stepped between two incarnations, in one boot: a request that must not be repeated and may have run
// stays known for its time, and the window of one with an idempotency key is one of real time. What was sent before another
// boot is beyond every window, and is known as well.
func TestRetriesAfterClockStep(t *testing.T) {
	const hour = 3_600_000_000
	for _, c := range []struct {
		name     string
		step     control.Micros // of the wall clock since
		boot     bool           // again since
		booking  string
		attempts int
	}{
		{"ahead", hour, false, invariant.Succeeded, 1}, {"back", -hour, false, invariant.Succeeded, 1}, {"by seconds", 5_000_000, false, invariant.Succeeded, 1},
		{"not at all", 0, false, invariant.Succeeded, 1}, {"another boot", 0, true, invariant.Rejected, 0}, {"another boot, ahead", hour, true, invariant.Rejected, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			config := &Config{Deployment: control.Deployment{Classes: []control.Class{{}, {Idempotency: control.IdempotentByKey}, {Idempotency: control.NonIdempotent}}}}
			now := control.Micros(time.Now().UnixMicro()) - c.step
			clock := persistence.ReadClock(now)
			if c.boot {
				clock.BootID++
			}
			j, _, _, err := persistence.JournalOptions{FileSystem: persistence.OSFileSystem{}, Sync: persistence.SyncGrouped, Retention: 1 << 40, MaxBytes: 1 << 30, OnStatusChange: func(error) {},
				OnWarning: func(string) {}, Clock: clock, Now: now}.Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			elsewhere := fleet.ID("127.0.0.1:9")
			j.Append(persistence.Entry{Kind: persistence.EntryAttempt, At: now, Key: config.journalKey("ticket-1", kserve.InferRequest{IdempotencyKey: "sent"}, 2), Server: elsewhere},
				persistence.Entry{Kind: persistence.EntryAttempt, At: now, Key: config.journalKey("booking-1", kserve.InferRequest{IdempotencyKey: "sent"}, 1), Server: elsewhere})
			j.Close()
			tg := newTestGatewayConfigured(t, stateSection(dir), func(t *Config) {
				booking, _ := t.Match("booking-1")
				t.Deployment.Classes[booking.Class].DedupWindow = 60_000_000
			}, serverOptions(0), serverOptions(1))
			if got := tg.callWithKey("booking", "booking-1", "sent"); got != c.booking || tg.attemptsBegun("booking", -1) != c.attempts {
				t.Errorf("booking: got %s with %d attempts", got, tg.attemptsBegun("booking", -1))
			}
			waitUntil(t, "keys were pruned and the state written, once for each of its files", func() bool {
				return !slices.ContainsFunc(persistence.GenerationFiles[:], func(name string) bool {
					_, err := os.Stat(filepath.Join(dir, name))
					return err != nil
				})
			})
			if got := tg.callWithKey("ticket", "ticket-1", "sent"); got != invariant.Failed || tg.attemptsBegun("ticket", -1) > 0 {
				t.Errorf("ticket: got %s with %d attempts", got, tg.attemptsBegun("ticket", -1))
			}
		})
	}
}

// While the folder fails, a request that must not be repeated is rejected with a time to retry after, and others are
// served; once the folder works, all are. What ran is known to the next incarnation at any moment, and both metrics count.
func TestRequestsWhileFolderFails(t *testing.T) {
	dir := t.TempDir()
	disk := &fullDisk{}
	tg := newTestGatewayConfigured(t, stateSection(dir), func(c *Config) { c.fileSystem = disk }, serverOptions(0), serverOptions(1))
	refused := 0
	for i := range 60 {
		disk.full.Store(i/10%2 == 1)
		job := fmt.Sprint("job-", i)
		got := tg.callWithKey(job, "ticket-1", job)
		switch ran := tg.attemptsBegun(job, -1); {
		case got == invariant.Rejected && ran == 0:
			refused++
		case got != invariant.Succeeded || ran != 1:
			t.Errorf("%s: got %s with %d attempts", job, got, ran)
		case disk.full.Load():
			t.Errorf("%s: ran unrecorded", job)
		}
		if disk.full.Load() && i%10 == 5 {
			if got := tg.call(job+" other", "forecast-1", time.Second); got != invariant.Succeeded {
				t.Errorf("a request that may repeat: %s", got)
			}
			client, err := rest.Dial(context.Background(), tg.gateway.Address(), &rest.DefaultLimits)
			if err != nil {
				t.Fatal(err)
			}
			msg := inferRequest(job, "ticket-1", time.Second)
			msg.Header[kserve.IdempotencyKeyHeader] = []string{job + " again"}
			resp, _, err := client.Do(msg, time.Now().Add(2*time.Second))
			if client.Close(); err != nil || resp.Status != 503 || resp.Header["Retry-After"] == nil {
				t.Errorf("%+v, %v", resp, err)
			}
		}
		if i%10 == 9 {
			known := tg.keysInJournal(t, dir)
			for k := range i + 1 {
				job := fmt.Sprint("job-", k)
				if tg.attemptsBegun(job, -1) > 0 && len(known.MayHaveRun(tg.gateway.loop.Now(), tg.gateway.config.journalKey("ticket-1", kserve.InferRequest{IdempotencyKey: job}, tg.ticketClass()))) == 0 {
					t.Errorf("%s ran, and a next incarnation would not know", job)
				}
			}
		}
		if i%20 == 19 { // until it is tried again
			disk.full.Store(false)
			waitUntil(t, "the journal is written again", func() bool { return !tg.gateway.state.Failing() })
		}
	}
	if refused < 25 {
		t.Errorf("%d were rejected", refused)
	}
	text := string(tg.gateway.metrics.response().Body)
	for _, name := range []string{"journal_refused_total", "journal_failures_total"} {
		if !strings.Contains(text, "hollymast_"+name+" ") || strings.Contains(text, "hollymast_"+name+" 0\n") {
			t.Errorf("%s does not count", name)
		}
	}
}

// ticketClass returns the class of requests that must not be repeated.
func (tg *testGateway) ticketClass() control.ClassID {
	pattern, _ := tg.gateway.config.Match("ticket-1")
	return pattern.Class
}

// keysInJournal returns the keys that another incarnation would know if this one were killed now.
func (tg *testGateway) keysInJournal(t *testing.T, dir string) *persistence.KeyIndex {
	t.Helper()
	copied := t.TempDir()
	names, err := filepath.Glob(filepath.Join(dir, "journal-*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names { // the memory beside them is being replaced
		b, err := os.ReadFile(name)
		if err == nil {
			err = os.WriteFile(filepath.Join(copied, filepath.Base(name)), b, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	j, entries, _, err := persistence.OpenJournal(copied, persistence.SyncNever, 1<<40, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	return persistence.ApplyEntries(&control.LearnedState{}, entries, 1<<40, 1000)
}

// A failing folder is logged when it begins to fail and when it works again, once each. One that fails at the start is no
// reason to run what an earlier incarnation may have run.
func TestFolderFailsAtStart(t *testing.T) {
	var said strings.Builder
	config := &Config{StateDir: t.TempDir(), KeyRetention: 10 * time.Minute, MaxKeys: 10, JournalSync: persistence.SyncGrouped, fileSystem: &fullDisk{}}
	disk := config.fileSystem.(*fullDisk)
	keeper, unknown := openStateKeeper(config, 1e15, control.New(1e15, 1, control.Deployment{}), zerolog.New(&said))
	disk.full.Store(true)
	for range 3 {
		failures := keeper.FailureCount()
		keeper.Append(persistence.Entry{Kind: persistence.EntryAttempt, At: 1e15, Key: 1})
		waitUntil(t, "the write has failed", func() bool { return keeper.FailureCount() > failures })
	}
	r := keeper.Append(persistence.Entry{Kind: persistence.EntryAttempt, At: 1e15, Key: 1})
	disk.full.Store(false)
	<-r.Done()
	keeper.close()
	if n, m := strings.Count(said.String(), "journal can't be written"), strings.Count(said.String(), "journal is written again"); n != 1 || m != 1 || unknown != 0 {
		t.Errorf("said %d and %d times, unknown until %d: %s", n, m, unknown, said.String())
	}
	disk.full.Store(true)
	keeper, unknown = openStateKeeper(config, 1e15, control.New(1e15, 1, control.Deployment{}), zerolog.New(&said))
	g := &Gateway{config: config, state: keeper, keysUnknownUntil: unknown}
	if keeper != nil || g.journalRefusal(1e15, 1) == "" || g.journalRefusal(1e15, 0) != "" {
		t.Errorf("%v, unknown until %d", keeper, unknown)
	}
}
