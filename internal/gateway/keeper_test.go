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
	"github.com/tidwall/gjson"

	"hollymast/control"
	"hollymast/internal/fleet"
	"hollymast/internal/history"
	"hollymast/internal/invariant"
	"hollymast/internal/persistence"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// remembering is the section for a folder.
func stateSection(dir string) string {
	return fmt.Sprintf("[memory]\nfolder = %s\nevery = 100ms\n", dir)
}

// askMarked sends a job with a client's mark and gives the answer's word.
func (tg *testGateway) callWithKey(job, function, key string) string {
	tg.t.Helper()
	client, err := rest.Dial(context.Background(), tg.gateway.Address(), &rest.DefaultLimits)
	if err != nil {
		tg.t.Fatal(err)
	}
	defer client.Close()
	msg := inferRequest(job, function, time.Second)
	msg.Header[kserve.RepeatMark] = []string{key}
	resp, _, err := client.Do(msg, time.Now().Add(2*time.Second))
	if err != nil {
		tg.t.Fatal(err)
	}
	if resp.Status == 200 {
		return invariant.Succeeded
	}
	return gjson.GetBytes(resp.Body, "answer").Str
}

// began counts the executions of a job on a server, or on all for -1.
func (tg *testGateway) attemptsBegun(job string, server int) int {
	n := 0
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptStarted && r.Request == job && (server < 0 || r.Server == server) {
			n++
		}
	}
	return n
}

// What an earlier life sent is judged as if this one had: a journal stands in for the life that was killed.
func TestRepeatsAfterARestart(t *testing.T) {
	dir := t.TempDir()
	config := &Config{Deployment: control.Deployment{Classes: []control.Class{{}, {Effect: control.IdempotentByKey}, {Effect: control.NonIdempotent}}}}
	mark := func(function, key string, class control.ClassID) persistence.IdempotencyKey {
		return config.journalKey(function, kserve.Ask{Mark: key}, class)
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
		executions           int
	}{
		{"ticket-1", "sent", invariant.Failed, 0},
		{"ticket-1", "proved", invariant.Succeeded, 1},
		{"ticket-1", "new", invariant.Succeeded, 1},
		{"ticket-1", "new", invariant.Failed, 0}, // asked again of the same life
		{"ticket-2", "sent", invariant.Succeeded, 1},
		{"booking-1", "late", invariant.Rejected, 0}, // its window is over; no execution does harm in a window of the whole fleet
		{"booking-1", "clock set back", invariant.Rejected, 0},
	} {
		job := fmt.Sprint("job-", i)
		if got := tg.callWithKey(job, c.function, c.mark); got != c.want || tg.attemptsBegun(job, -1) != c.executions {
			t.Errorf("%s, %s: got %s with %d executions, want %s with %d", c.function, c.mark, got, tg.attemptsBegun(job, -1), c.want, c.executions)
		}
	}
}

// The next life finds copies where they stand, and its own file.
func TestNextLifeRecalls(t *testing.T) {
	dir := t.TempDir()
	first := newTestGatewayWith(t, stateSection(dir), serverOptions(0), serverOptions(1), serverOptions(2))
	if word := first.call("1", "forecast-1", time.Second); word != invariant.Succeeded {
		t.Fatal(word)
	}
	other, err := New(first.gateway.config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if other.state != nil { // two routers on one folder: the second goes without
		t.Error("a second router has the folder too")
	}
	other.closeListeners()
	first.stop()
	if err := <-first.ended; err != nil {
		t.Fatal(err)
	}
	first.ended <- nil
	next, err := New(first.gateway.config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer next.closeListeners()
	defer next.state.close()
	s, err := next.core.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Balancer.Functions) != 1 || !slices.ContainsFunc(s.Balancer.Functions[0].Instances, func(in control.InstanceSnapshot) bool { return in.Replicas == 1 && in.InFlight == 0 }) {
		t.Errorf("got %+v", s.Balancer.Functions)
	}
}

// No state of the folder keeps a router from serving.
func TestAnyFolderLetsTheRouterStart(t *testing.T) {
	for name, prepare := range map[string]func(dir string) error{
		"a file":       func(dir string) error { return os.WriteFile(dir, nil, 0o600) },
		"rubbish":      func(dir string) error { return writeStateFile(dir, persistence.GenerationFiles[0], "rubbish") },
		"a folder":     func(dir string) error { return os.MkdirAll(filepath.Join(dir, persistence.GenerationFiles[0]), 0o700) },
		"bad journal":  func(dir string) error { return writeStateFile(dir, "journal-00000001", "rubbish") },
		"last journal": func(dir string) error { return writeStateFile(dir, "journal-99999999999999999999", "") },
		"lock":         func(dir string) error { return os.MkdirAll(filepath.Join(dir, "lock"), 0o700) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "m")
			if err := prepare(dir); err != nil {
				t.Fatal(err)
			}
			tg := newTestGatewayWith(t, stateSection(dir), serverOptions(0))
			if word := tg.call("1", "forecast-1", time.Second); word != invariant.Succeeded {
				t.Error(word)
			}
		})
	}
}

func writeStateFile(dir, name, text string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)
}

// A marked job is pushed back, and runs nowhere, where its journal stands still or has ended.
func TestJobsWithoutAJournal(t *testing.T) {
	tg := newTestGatewayWith(t, stateSection(filepath.Join(t.TempDir(), "m")), serverOptions(0))
	set := func(j *persistence.Journal) (old *persistence.Journal) {
		done := make(chan bool)
		tg.gateway.post(func(control.Micros) {
			old, tg.gateway.state.Journal = tg.gateway.state.Journal, j
			close(done)
		})
		<-done
		return old
	}
	old := set(&persistence.Journal{}) // no round of it ever ends
	if got := tg.callWithKey("still", "ticket-1", "still"); got != invariant.Rejected || tg.attemptsBegun("still", -1) > 0 {
		t.Errorf("got %s with %d executions", got, tg.attemptsBegun("still", -1))
	}
	set(old)
	old.Close()
	if got := tg.callWithKey("failing", "ticket-1", "failing"); got != invariant.Rejected || tg.attemptsBegun("failing", -1) > 0 {
		t.Errorf("got %s with %d executions", got, tg.attemptsBegun("failing", -1))
	}
	if got := tg.call("unmarked", "ticket-1", time.Second); got != invariant.Succeeded {
		t.Errorf("unmarked: got %s", got)
	}
}

// fullDisk is the machine's file system, which fails while it is full.
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

// The wall clock was stepped between two lives, in one boot: a run-once job that may have run stays known for its time, and a
// fingerprinted one's window is that of real time. What another boot sent lies beyond every window, and is known as well.
func TestRepeatsAfterTheClockWasStepped(t *testing.T) {
	const hour = 3_600_000_000
	for _, c := range []struct {
		name       string
		step       control.Micros // of the wall clock since
		boot       bool           // again since
		booking    string
		executions int
	}{
		{"ahead", hour, false, invariant.Succeeded, 1}, {"back", -hour, false, invariant.Succeeded, 1}, {"by seconds", 5_000_000, false, invariant.Succeeded, 1},
		{"not at all", 0, false, invariant.Succeeded, 1}, {"another boot", 0, true, invariant.Rejected, 0}, {"another boot, ahead", hour, true, invariant.Rejected, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			config := &Config{Deployment: control.Deployment{Classes: []control.Class{{}, {Effect: control.IdempotentByKey}, {Effect: control.NonIdempotent}}}}
			now := control.Micros(time.Now().UnixMicro()) - c.step
			clock := persistence.ReadClock(now)
			if c.boot {
				clock.BootID++
			}
			j, _, _, err := persistence.JournalOptions{FileSystem: persistence.OSFileSystem{}, Sync: persistence.SyncGrouped, Retention: 1 << 40, MaxBytes: 1 << 30, OnFailure: func(error) {},
				OnWarning: func(string) {}, Clock: clock, Now: now}.Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			elsewhere := fleet.ID("127.0.0.1:9")
			j.Append(persistence.Entry{Kind: persistence.EntryAttempt, At: now, Key: config.journalKey("ticket-1", kserve.Ask{Mark: "sent"}, 2), Server: elsewhere},
				persistence.Entry{Kind: persistence.EntryAttempt, At: now, Key: config.journalKey("booking-1", kserve.Ask{Mark: "sent"}, 1), Server: elsewhere})
			j.Close()
			tg := newTestGatewayConfigured(t, stateSection(dir), func(t *Config) {
				booking, _ := t.Match("booking-1")
				t.Deployment.Classes[booking.Class].Window = 60_000_000
			}, serverOptions(0), serverOptions(1))
			if got := tg.callWithKey("booking", "booking-1", "sent"); got != c.booking || tg.attemptsBegun("booking", -1) != c.executions {
				t.Errorf("booking: got %s with %d executions", got, tg.attemptsBegun("booking", -1))
			}
			time.Sleep(300 * time.Millisecond) // some rounds of forgetting
			if got := tg.callWithKey("ticket", "ticket-1", "sent"); got != invariant.Failed || tg.attemptsBegun("ticket", -1) > 0 {
				t.Errorf("ticket: got %s with %d executions", got, tg.attemptsBegun("ticket", -1))
			}
		})
	}
}

// While the folder fails a marked job that may not repeat is pushed back with the time to come again, others are served, and once
// it is well all are. What ran is known to the next life at any moment, and both metrics count.
func TestMarkedJobsWhileTheFolderFails(t *testing.T) {
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
			t.Errorf("%s: got %s with %d executions", job, got, ran)
		case disk.full.Load():
			t.Errorf("%s: ran unrecorded", job)
		}
		if disk.full.Load() && i%10 == 5 {
			if got := tg.call(job+" other", "forecast-1", time.Second); got != invariant.Succeeded {
				t.Errorf("a job that may repeat: %s", got)
			}
			client, err := rest.Dial(context.Background(), tg.gateway.Address(), &rest.DefaultLimits)
			if err != nil {
				t.Fatal(err)
			}
			msg := inferRequest(job, "ticket-1", time.Second)
			msg.Header[kserve.RepeatMark] = []string{job + " again"}
			resp, _, err := client.Do(msg, time.Now().Add(2*time.Second))
			if client.Close(); err != nil || resp.Status != 503 || resp.Header["Retry-After"] == nil {
				t.Errorf("%+v, %v", resp, err)
			}
		}
		if i%10 == 9 {
			known := tg.keysInJournal(t, dir)
			for k := range i + 1 {
				job := fmt.Sprint("job-", k)
				if tg.attemptsBegun(job, -1) > 0 && len(known.MayHaveRun(tg.gateway.now(), tg.gateway.config.journalKey("ticket-1", kserve.Ask{Mark: job}, tg.ticketClass()))) == 0 {
					t.Errorf("%s ran, and a next life would not know", job)
				}
			}
		}
		if i%20 == 19 { // until it is tried again
			disk.full.Store(false)
			for end := time.Now().Add(10 * time.Second); tg.gateway.state.Failing() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
	}
	if refused < 25 {
		t.Errorf("%d were pushed back", refused)
	}
	text := string(tg.gateway.metrics.response().Body)
	for _, name := range []string{"journal_refused_total", "journal_failures_total"} {
		if !strings.Contains(text, "hollymast_"+name+" ") || strings.Contains(text, "hollymast_"+name+" 0\n") {
			t.Errorf("%s does not count", name)
		}
	}
}

func (tg *testGateway) ticketClass() control.ClassID {
	pattern, _ := tg.gateway.config.Match("ticket-1")
	return pattern.Class
}

// knownTo gives what a life that begins now would know of marks, were this one killed.
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

// What a failing folder is said of is its beginning and its end, once each. A folder that fails at a start is no reason to run what an
// earlier life may have run.
func TestFolderThatFailsAtAStart(t *testing.T) {
	var said strings.Builder
	config := &Config{StateDir: t.TempDir(), KeyRetention: 10 * time.Minute, MaxKeys: 10, JournalSync: persistence.SyncGrouped, fileSystem: &fullDisk{}}
	disk := config.fileSystem.(*fullDisk)
	keeper, unknown := openStateKeeper(config, 1e15, control.New(1e15, 1, control.Deployment{}), zerolog.New(&said))
	disk.full.Store(true)
	for range 3 {
		keeper.Append(persistence.Entry{Kind: persistence.EntryAttempt, At: 1e15, Key: 1})
		time.Sleep(20 * time.Millisecond)
	}
	r := keeper.Append(persistence.Entry{Kind: persistence.EntryAttempt, At: 1e15, Key: 1})
	disk.full.Store(false)
	<-r.Done()
	keeper.close()
	if n, m := strings.Count(said.String(), "the journal can't be written"), strings.Count(said.String(), "the journal is written again"); n != 1 || m != 1 || unknown != 0 {
		t.Errorf("said %d and %d times, unknown until %d: %s", n, m, unknown, said.String())
	}
	disk.full.Store(true)
	keeper, unknown = openStateKeeper(config, 1e15, control.New(1e15, 1, control.Deployment{}), zerolog.New(&said))
	g := &Gateway{config: config, state: keeper, keysUnknownUntil: unknown}
	if keeper != nil || g.journalRefusal(1e15, 1) == "" || g.journalRefusal(1e15, 0) != "" {
		t.Errorf("%v, unknown until %d", keeper, unknown)
	}
}

// A router that ends leaves its history, each job counted once.
func TestHistoryOfUse(t *testing.T) {
	dir := t.TempDir()
	tg := newTestGatewayWith(t, stateSection(dir)+"[tenant laundry]\nshare = 100\n", serverOptions(0), serverOptions(1))
	for i := range 30 {
		if word := tg.call(fmt.Sprint(i), "forecast-1", time.Second); word != invariant.Succeeded {
			t.Fatal(word)
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

// What could not be written to the history for a while is written once it can, each job once; a file that looks damaged for a moment
// is not set aside.
func TestHistoryOnAFailingDisk(t *testing.T) {
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
		for range damagedTries - 1 {
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
	jobs := int64(0)
	err := o.store.Read(0, 1<<60, func(_ history.Level, r history.Row) error { jobs += r.Requests; return nil })
	if want := int64(1 + 2*damagedTries); err != nil || jobs != want || len(o.batches) != 0 {
		t.Errorf("%d jobs of %d, %d batches wait, %v", jobs, want, len(o.batches), err)
	}
	if n, m := strings.Count(said.String(), "can't be written"), strings.Count(said.String(), "is written again"); n != 2 || m != 2 || strings.Contains(said.String(), "aside") {
		t.Errorf("said %d and %d times: %s", n, m, said.String())
	}
	if err := os.WriteFile(path, []byte("rubbish for good"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range damagedTries {
		write()
	}
	if err := o.store.Read(0, 1<<60, func(_ history.Level, r history.Row) error { jobs -= r.Requests; return nil }); err != nil || jobs != 1+damagedTries {
		t.Errorf("%d jobs more in a new one, %v", jobs, err)
	}
	for range 40 {
		o.batches = append(o.batches, historyBatch{1, make([]history.Row, 1000)})
	}
	if o.dropOldest(); len(o.batches) > maxQueuedRows/1000 {
		t.Errorf("%d batches wait", len(o.batches))
	}
}
