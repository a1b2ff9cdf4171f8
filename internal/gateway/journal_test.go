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

// Attempts of an earlier incarnation count like those of this one. The test writes the journal that a killed
// incarnation would have left.
func TestRetriesAfterRestart(t *testing.T) {
	dir := t.TempDir()
	config := &Config{Deployment: control.Deployment{Classes: []control.Class{{}, {Idempotency: control.IdempotentByKey}, {Idempotency: control.NonIdempotent}}}}
	journalKey := func(function, key string, class control.ClassID) persistence.IdempotencyKey {
		return config.journalKey(function, kserve.InferRequest{IdempotencyKey: key}, class)
	}
	j, _, _, err := persistence.OpenJournal(dir, persistence.SyncGrouped, 1<<40, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	now := control.Micros(time.Now().UnixMicro())
	elsewhere := fleet.ID("127.0.0.1:9")
	j.Append(
		persistence.Entry{Kind: persistence.EntryAttempt, At: now, Key: journalKey("ticket-1", "sent", 2), Server: elsewhere},
		persistence.Entry{Kind: persistence.EntryAttempt, At: now, Key: journalKey("ticket-1", "proved", 2), Server: elsewhere},
		persistence.Entry{Kind: persistence.EntryNotRun, At: now, Key: journalKey("ticket-1", "proved", 2), Server: elsewhere},
		persistence.Entry{Kind: persistence.EntryAttempt, At: now - 1_000_000, Key: journalKey("booking-1", "late", 1), Server: elsewhere},
		persistence.Entry{Kind: persistence.EntryAttempt, At: now + 3_600_000_000, Key: journalKey("booking-1", "clock set back", 1), Server: elsewhere})
	j.Close()
	tg := newTestGatewayWith(t, stateSection(dir), serverConfig(0), serverConfig(1))
	for i, c := range []struct {
		function, key, want string
		attempts            int
	}{
		{"ticket-1", "sent", invariant.Failed, 0},
		{"ticket-1", "proved", invariant.Succeeded, 1},
		{"ticket-1", "new", invariant.Succeeded, 1},
		{"ticket-1", "new", invariant.Failed, 0}, // a retry within this incarnation
		{"ticket-2", "sent", invariant.Succeeded, 1},
		{"booking-1", "late", invariant.Rejected, 0}, // its retry window has passed
		{"booking-1", "clock set back", invariant.Rejected, 0},
	} {
		id := fmt.Sprint("job-", i)
		if got := tg.callWithKey(id, c.function, c.key); got != c.want || tg.attemptsStarted(id, -1) != c.attempts {
			t.Errorf("%s, %s: got %s with %d attempts, want %s with %d", c.function, c.key, got, tg.attemptsStarted(id, -1), c.want, c.attempts)
		}
	}
}

// A request with an idempotency key is rejected and does not run while the journal stalls or after it was closed.
func TestRequestsWithoutJournal(t *testing.T) {
	tg := newTestGatewayWith(t, stateSection(filepath.Join(t.TempDir(), "m")), serverConfig(0))
	setJournal := func(j *persistence.Journal) (old *persistence.Journal) {
		done := make(chan bool)
		tg.gateway.loop.Post(func(control.Micros) {
			old, tg.gateway.state.Journal = tg.gateway.state.Journal, j
			close(done)
		})
		<-done
		return old
	}
	old := setJournal(&persistence.Journal{}) // its batches never complete
	if got := tg.callWithKey("still", "ticket-1", "still"); got != invariant.Rejected || tg.attemptsStarted("still", -1) > 0 {
		t.Errorf("while the journal stalls: got %s with %d attempts", got, tg.attemptsStarted("still", -1))
	}
	setJournal(old)
	old.Close()
	if got := tg.callWithKey("failing", "ticket-1", "failing"); got != invariant.Rejected || tg.attemptsStarted("failing", -1) > 0 {
		t.Errorf("after the journal was closed: got %s with %d attempts", got, tg.attemptsStarted("failing", -1))
	}
	if got := tg.call("unmarked", "ticket-1", time.Second); got != invariant.Succeeded {
		t.Errorf("without a key: got %s", got)
	}
}

// fullDisk is the operating system's file system, except that operations fail while full is set.
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

// The wall clock is stepped between two incarnations. Within one boot, a non-idempotent request that may have run stays
// known for the retention time, and the window of a request with an idempotency key is measured in real time. Attempts
// from before a reboot are known too, but are outside every window.
func TestRetriesAfterClockStep(t *testing.T) {
	const hour = 3_600_000_000
	for _, c := range []struct {
		name          string
		clockStep     control.Micros // step of the wall clock between the incarnations
		rebooted      bool           // rebooted between the incarnations
		bookingAnswer string
		attempts      int
	}{
		{"ahead", hour, false, invariant.Succeeded, 1}, {"back", -hour, false, invariant.Succeeded, 1}, {"by seconds", 5_000_000, false, invariant.Succeeded, 1},
		{"not at all", 0, false, invariant.Succeeded, 1}, {"another boot", 0, true, invariant.Rejected, 0}, {"another boot, ahead", hour, true, invariant.Rejected, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			config := &Config{Deployment: control.Deployment{Classes: []control.Class{{}, {Idempotency: control.IdempotentByKey}, {Idempotency: control.NonIdempotent}}}}
			now := control.Micros(time.Now().UnixMicro()) - c.clockStep
			clock := persistence.ReadClock(now)
			if c.rebooted {
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
			tg := newTestGatewayConfigured(t, stateSection(dir), func(c *Config) {
				booking, _ := c.MatchFunction("booking-1")
				c.Deployment.Classes[booking.Class].DedupWindow = 60_000_000
			}, serverConfig(0), serverConfig(1))
			if got := tg.callWithKey("booking", "booking-1", "sent"); got != c.bookingAnswer || tg.attemptsStarted("booking", -1) != c.attempts {
				t.Errorf("booking: got %s with %d attempts", got, tg.attemptsStarted("booking", -1))
			}
			waitUntil(t, "the keys are pruned and each state file is written once", func() bool {
				return !slices.ContainsFunc(persistence.GenerationFiles[:], func(name string) bool {
					_, err := os.Stat(filepath.Join(dir, name))
					return err != nil
				})
			})
			if got := tg.callWithKey("ticket", "ticket-1", "sent"); got != invariant.Failed || tg.attemptsStarted("ticket", -1) > 0 {
				t.Errorf("ticket: got %s with %d attempts", got, tg.attemptsStarted("ticket", -1))
			}
		})
	}
}

// While the folder fails, non-idempotent requests are rejected with a Retry-After header and others are served. Once it
// works again, all are served. At any moment the next incarnation would know what ran, and both metrics count.
func TestRequestsWhileFolderFails(t *testing.T) {
	dir := t.TempDir()
	disk := &fullDisk{}
	tg := newTestGatewayConfigured(t, stateSection(dir), func(c *Config) { c.fileSystem = disk }, serverConfig(0), serverConfig(1))
	rejected := 0
	for i := range 60 {
		disk.full.Store(i/10%2 == 1)
		id := fmt.Sprint("job-", i)
		got := tg.callWithKey(id, "ticket-1", id)
		switch ran := tg.attemptsStarted(id, -1); {
		case got == invariant.Rejected && ran == 0:
			rejected++
		case got != invariant.Succeeded || ran != 1:
			t.Errorf("%s: got %s with %d attempts", id, got, ran)
		case disk.full.Load():
			t.Errorf("%s: ran without a journal entry", id)
		}
		if disk.full.Load() && i%10 == 5 {
			if got := tg.call(id+" other", "forecast-1", time.Second); got != invariant.Succeeded {
				t.Errorf("an idempotent request: %s", got)
			}
			client, err := rest.Dial(context.Background(), tg.gateway.Address(), &rest.DefaultLimits)
			if err != nil {
				t.Fatal(err)
			}
			msg := inferRequest(id, "ticket-1", time.Second)
			msg.Header[kserve.IdempotencyKeyHeader] = []string{id + " again"}
			resp, _, err := client.Do(msg, time.Now().Add(2*time.Second))
			if client.Close(); err != nil || resp.Status != 503 || resp.Header["Retry-After"] == nil {
				t.Errorf("want status 503 with Retry-After: got %+v, %v", resp, err)
			}
		}
		if i%10 == 9 {
			known := tg.keysInJournal(t, dir)
			for k := range i + 1 {
				id := fmt.Sprint("job-", k)
				if tg.attemptsStarted(id, -1) > 0 && len(known.MayHaveRun(tg.gateway.loop.Now(), tg.gateway.config.journalKey("ticket-1", kserve.InferRequest{IdempotencyKey: id}, tg.ticketClass()))) == 0 {
					t.Errorf("%s ran, but the next incarnation would not know", id)
				}
			}
		}
		if i%20 == 19 { // the journal recovers at its next retry
			disk.full.Store(false)
			waitUntil(t, "the journal is written again", func() bool { return !tg.gateway.state.Failing() })
		}
	}
	if rejected < 25 {
		t.Errorf("%d were rejected", rejected)
	}
	text := string(tg.gateway.metrics.response().Body)
	for _, name := range []string{"journal_refused_total", "journal_failures_total"} {
		if !strings.Contains(text, "hollymast_"+name+" ") || strings.Contains(text, "hollymast_"+name+" 0\n") {
			t.Errorf("%s is not counted", name)
		}
	}
}

// ticketClass returns the class of non-idempotent requests.
func (tg *testGateway) ticketClass() control.ClassID {
	pattern, _ := tg.gateway.config.MatchFunction("ticket-1")
	return pattern.Class
}

// keysInJournal returns the keys that another incarnation would know if this one were killed now.
func (tg *testGateway) keysInJournal(t *testing.T, dir string) *persistence.KeyIndex {
	t.Helper()
	journalCopy := t.TempDir()
	names, err := filepath.Glob(filepath.Join(dir, "journal-*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names { // only the journal: the state files beside it are being replaced
		b, err := os.ReadFile(name)
		if err == nil {
			err = os.WriteFile(filepath.Join(journalCopy, filepath.Base(name)), b, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	j, entries, _, err := persistence.OpenJournal(journalCopy, persistence.SyncNever, 1<<40, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	return persistence.ApplyEntries(&control.LearnedState{}, entries, 1<<40, 1000)
}

// The start and the end of a folder's failure are each logged once. If the folder fails when the router starts,
// requests that an earlier incarnation may have run are not accepted.
func TestFolderFailsAtStart(t *testing.T) {
	var logs strings.Builder
	config := &Config{StateDir: t.TempDir(), KeyRetention: 10 * time.Minute, MaxKeys: 10, JournalSync: persistence.SyncGrouped, fileSystem: &fullDisk{}}
	disk := config.fileSystem.(*fullDisk)
	keeper, keysUnknownUntil := openStateKeeper(config, 1e15, control.New(1e15, 1, control.Deployment{}), zerolog.New(&logs))
	disk.full.Store(true)
	for range 3 {
		failures := keeper.FailureCount()
		keeper.Append(persistence.Entry{Kind: persistence.EntryAttempt, At: 1e15, Key: 1})
		waitUntil(t, "the write has failed", func() bool { return keeper.FailureCount() > failures })
	}
	batch := keeper.Append(persistence.Entry{Kind: persistence.EntryAttempt, At: 1e15, Key: 1})
	disk.full.Store(false)
	<-batch.Done()
	keeper.close()
	if failedCount, recoveredCount := strings.Count(logs.String(), "journal can't be written"), strings.Count(logs.String(), "journal is written again"); failedCount != 1 || recoveredCount != 1 || keysUnknownUntil != 0 {
		t.Errorf("failure logged %d times, recovery %d times, keys unknown until %d: %s", failedCount, recoveredCount, keysUnknownUntil, logs.String())
	}
	disk.full.Store(true)
	keeper, keysUnknownUntil = openStateKeeper(config, 1e15, control.New(1e15, 1, control.Deployment{}), zerolog.New(&logs))
	g := &Gateway{config: config, state: keeper, keysUnknownUntil: keysUnknownUntil}
	if keeper != nil || g.journalRejectionReason(1e15, 1) == "" || g.journalRejectionReason(1e15, 0) != "" {
		t.Errorf("%v, keys unknown until %d", keeper, keysUnknownUntil)
	}
}

// TestRepeatIsBoundToProcessNotAddress guards against a keyed request that may have run being sent again outside its group, because another
// process has the address of the server that it was sent to.
func TestRepeatIsBoundToProcessNotAddress(t *testing.T) {
	const (
		key     = persistence.IdempotencyKey(7)
		address = "127.0.0.1:9"
		second  = control.Micros(1_000_000)
	)
	// The list of servers changes from before to after; the attempt was sent in between, or a second before the gateway started.
	listed := func(cell string, startedAt control.Micros) []fleet.Endpoint {
		return []fleet.Endpoint{{Address: address, State: control.Ready, Cell: cell, Weight: 1, StartedAt: int64(startedAt)}}
	}
	for name, c := range map[string]struct {
		before, after func(start control.Micros) []fleet.Endpoint
		sentEarlier   bool
		known         bool
	}{
		"the same process": {
			before: func(control.Micros) []fleet.Endpoint { return listed("c1", 0) },
			after:  func(control.Micros) []fleet.Endpoint { return listed("c1", 0) }, known: true,
		},
		"a later start": {
			before: func(start control.Micros) []fleet.Endpoint { return listed("c1", start-20*second) },
			after:  func(start control.Micros) []fleet.Endpoint { return listed("c1", start+3*second) },
		},
		"another cell in the next list": {
			before: func(control.Micros) []fleet.Endpoint { return listed("c1", 0) },
			after:  func(control.Micros) []fleet.Endpoint { return listed("c2", 0) },
		},
		"gone": {
			before: func(control.Micros) []fleet.Endpoint { return listed("c1", 0) },
			after:  func(control.Micros) []fleet.Endpoint { return nil }, known: true,
		},
		"sent before a restart of the gateway, to a process of which the start is not listed": {
			before: func(control.Micros) []fleet.Endpoint { return listed("c1", 0) },
			after:  func(control.Micros) []fleet.Endpoint { return listed("c1", 0) }, sentEarlier: true,
		},
		"sent before a restart of the gateway, to a process that was there": {
			before: func(start control.Micros) []fleet.Endpoint { return listed("c1", start-20*second) },
			after:  func(start control.Micros) []fleet.Endpoint { return listed("c1", start-20*second) }, sentEarlier: true, known: true,
		},
		"sent before a restart of the gateway, to a process that was replaced since": {
			before: func(start control.Micros) []fleet.Endpoint { return listed("c1", start-second/2) },
			after:  func(start control.Micros) []fleet.Endpoint { return listed("c1", start-second/2) }, sentEarlier: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tg := newTestGatewayWith(t, stateSection(t.TempDir()), serverConfig(0))
			done := make(chan []control.Attempt)
			tg.gateway.loop.Post(func(control.Micros) {
				g, start := tg.gateway, tg.gateway.loop.Epoch
				g.fleet = fleet.New(0)
				update := func(at control.Micros, endpoints []fleet.Endpoint) { g.fleet.FullUpdate(at, endpoints) }
				update(start+second, c.before(start))
				sentAt := start + 2*second
				if c.sentEarlier {
					sentAt = start - second
				}
				g.state.keys.Add(key, persistence.SentAttempt{Server: fleet.ID(address), At: sentAt})
				update(start+4*second, c.after(start))
				done <- g.earlierAttempts(start+2*second+second/2, key)
			})
			attempts := <-done
			if len(attempts) != 1 || attempts[0].Server != fleet.ID(address) {
				t.Fatalf("got %+v", attempts)
			}
			if known := attempts[0].Cell != unknownLocality; known != c.known {
				t.Errorf("its cell is known: %t, want %t", known, c.known)
			}
		})
	}
}
