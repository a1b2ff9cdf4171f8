// Command hmchaos is the laboratory: it plays days against real routers on loopback and judges them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"hollymast/internal/chaostest"
	"hollymast/internal/program"
)

type cli struct {
	program.CommonFlags
	Load       loadCmd       `cmd:"" help:"Measure a steady stream of jobs through a router against straight to the servers, in one run."`
	Changes    changesCmd    `cmd:"" help:"Change the list through a pretend control plane, under load, and measure how soon the router follows."`
	Emulate    emulateCmd    `cmd:"" help:"Play a day in simulated time, with this build's decisions or a textbook policy's."`
	Experiment experimentCmd `cmd:"" help:"Play many days in simulated time and hold arms against each other, as a file says."`
	Day        dayCmd        `cmd:"" help:"Play a scripted bad day and judge the five rules from what crossed the sockets."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmchaos", `The laboratory of hollymast.

Examples:

  hmchaos day --seed 7                              the built-in bad day

  hmchaos day --script days/dawn.ini --record REC

  hmchaos emulate --script days/portals.ini --seeds 20 --arms module,least

  hmchaos experiment days/arms.exp.ini

  hmchaos load --rates 1000,10000 --recording 8`)
	program.Exit("hmchaos", ctx.Run())
}

type dayCmd struct {
	Seed     uint64        `default:"1" help:"Seed of the day."`
	Jobs     int           `help:"Jobs; 0: as the script says."`
	Routers  int           `help:"Routers; 0: as the script says."`
	Workers  int           `help:"Workers; 0: as the script says."`
	Script   string        `help:"Script of the day (INI); without, the built-in bad day." type:"path"`
	Router   string        `help:"The router's program; without, hollymast beside this one." type:"path"`
	Orders   bool          `name:"orders-only" help:"Only orders load; without, jobs load what they miss on odd seeds and orders alone on even ones, unless a script is given."`
	Memory   string        `enum:",none,limits,kept,old,other" default:"" help:"What routers remember after a restart: none, limits (the journal alone), kept, old (as if a month ago), other (of quite another day); without, as the script says."`
	Record   string        `help:"Folder for the routers' recordings, one in it for each." type:"path"`
	Manners  string        `enum:",usual,good,bad,mixed" default:"" help:"How clients behave: usual, good (as the client library), bad (at once, unmarked), mixed; without, as the script says."`
	Clients  int           `help:"Clients that behave as the library, each with connections of its own; 0: as the script says."`
	Within   bool          `help:"The one tenant that would storm keeps to its share."`
	Undamped bool          `help:"Routers don't damp storms."`
	Plot     string        `help:"PNG of the day, second by second." type:"path"`
	JSON     bool          `name:"json" help:"Print the result as JSON before the verdict."`
	Most     time.Duration `default:"10m" help:"End the day after this time, whatever happens."`
}

func (d dayCmd) Run() error {
	var text []byte
	if d.Script != "" {
		var err error
		if text, err = os.ReadFile(d.Script); err != nil {
			return program.UsageError{Err: err}
		}
	}
	script, err := chaostest.ParseScenario(d.Script, text)
	if err != nil {
		return err
	}
	script.Seed, script.RecordDir = d.Seed, d.Record
	script.LoadCommandsOnly = script.LoadCommandsOnly || d.Orders || d.Script == "" && d.Seed%2 == 0
	if d.Memory != "" {
		script.RouterState = d.Memory
	}
	if err := overrideSizes(script, d.Jobs, d.Routers, d.Workers, d.Clients); err != nil {
		return err
	}
	if d.Manners != "" {
		script.ClientBehavior = d.Manners
	}
	script.TenantWithinQuota = d.Within
	script.DampOverload = script.DampOverload && !d.Undamped
	router, err := routerProgram(d.Router)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, d.Most)
	defer cancel()
	res, err := chaostest.Run(ctx, script, router)
	if res == nil {
		return err
	}
	if d.JSON {
		b, jerr := json.MarshalIndent(res, "", "  ")
		if jerr != nil {
			return jerr
		}
		fmt.Println(string(b))
	} else {
		printResult(res)
	}
	for _, t := range script.Faults {
		if t.Kind == "one_tenant" {
			meanwhile, otherwise := res.OtherTenantsInTime(t)
			fmt.Printf("calm tenants in time %.3f while one storms, %.3f otherwise\n", meanwhile, otherwise)
		}
		if t.Kind == "origin_stopped" || t.Kind == "balancer_kill" && t.Target < 0 {
			usual, after := chaostest.Recovery(res.Seconds, t.At, t.At+t.Duration)
			again := "after " + after.String()
			if after < 0 {
				again = "not before the day's end"
			}
			fmt.Printf("fingerprinted work in time before the outage %.3f; within 5%% of that again %s\n", usual, again)
		}
	}
	if d.Plot != "" {
		if err := chaostest.Plot(res.Seconds, script.Name, d.Plot); err != nil {
			return err
		}
	}
	word := "kept"
	if !res.Passed() {
		word = "broken"
	}
	fmt.Printf("verdict: %s jobs=%d finished=%d pushed_back=%d killed=%d unanswered=%d in_time=%.3f worth=%.3f storms=%d\n", word, res.Requests, res.Succeeded,
		res.Rejected, res.Failed, res.Unanswered, res.InTime, res.WeightedInTime, res.Overloads)
	if !res.Passed() && err == nil {
		err = fmt.Errorf("a rule was broken")
	}
	return err
}

// resize replaces a script's counts by those of flags; 0 leaves one as it is.
func overrideSizes(d *chaostest.Scenario, jobs, routers, workers, clients int) error {
	for _, x := range []struct {
		flag int
		to   *int
	}{{jobs, &d.Requests}, {routers, &d.Routers}, {workers, &d.Workers}, {clients, &d.LibraryClients}} {
		if x.flag < 0 {
			return program.UsageError{Err: fmt.Errorf("a count below zero")}
		}
		if x.flag > 0 {
			*x.to = x.flag
		}
	}
	return nil
}

func printResult(res *chaostest.Result) {
	fmt.Printf("%-40s %8d\n%-40s %8d\n%-40s %8d\n%-40s %8d\n%-40s %8d\n%-40s %8d\n%-40s %8d\n%-40s %8d\n%-40s %8.3f\n", "jobs (tries of clients)", res.Requests,
		"finished", res.Succeeded, "pushed back", res.Rejected, "killed", res.Failed, "left by their clients", res.Abandoned,
		"excused: their router was halted", res.Excused, "refused as wrong", res.NotAdmitted, "repeats by a router", res.Retries,
		"executions a job", float64(res.Attempts)/float64(max(1, res.Requests)))
	if res.RestartRetries.Sent > 0 {
		fmt.Printf("run-once jobs asked again of their restarted router: %d, finished %d, pushed back %d, killed %d\n", res.RestartRetries.Sent, res.RestartRetries.Succeeded,
			res.RestartRetries.Rejected, res.RestartRetries.Failed)
	}
	loads, worst := 0, 0.0
	for _, s := range res.Seconds {
		loads += s.Loads
	}
	fmt.Printf("%-40s %8d\n", "loads", loads)
	for _, w := range res.SlowStart {
		worst = max(worst, w.BudgetUsed)
	}
	if worst > 0 {
		fmt.Printf("%-40s %8.3f\n", "a cold server's worst window, of budget", worst)
	}
	if len(res.Restarts) > 0 {
		fmt.Printf("orders over the ration, if those before a restart count: %d\n", res.ExcessLoadCommands)
	}
	for _, r := range res.Restarts {
		fmt.Printf("router %d back at %s: in the next 10 s in time %.3f of %d, loads %d, executions a job %.3f\n", r.Router, r.At.Round(time.Millisecond), r.InTime,
			r.Effects, r.Loads, r.AttemptsPerRequest)
	}
	for _, r := range res.Rules {
		word := "kept"
		if r.ViolationCount > 0 {
			word = fmt.Sprintf("BROKEN %d times", r.ViolationCount)
		}
		fmt.Printf("rule %d, %-32s %8d chances  %s\n", r.Number, r.Name, r.Opportunities, word)
		for _, b := range r.Violations {
			fmt.Println("   ", b)
		}
	}
}

// routerProgram finds the router's program: the one named, else hollymast beside this one.
func routerProgram(name string) (string, error) {
	if name == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		name = filepath.Join(filepath.Dir(self), "hollymast")
	}
	if _, err := os.Stat(name); err != nil {
		return "", program.UsageError{Err: err}
	}
	return name, nil
}

type changesCmd struct {
	Seed    uint64        `default:"1" help:"Seed of the changes."`
	Number  int           `default:"1000" help:"Changes."`
	Every   time.Duration `default:"20ms" help:"Between two of them, on average."`
	Rate    int           `default:"400" help:"Jobs a second."`
	Workers int           `default:"60" help:"Workers."`
	Delta   bool          `help:"By delta, not by the state of the world."`
	Cuts    bool          `help:"Cut the stream now and again."`
	Loses   bool          `help:"Lose all of the list, then half of it, for three seconds each, as a broken control plane does."`
	Keys    bool          `help:"All connections are secret, and keys, authorities and lists of revoked certificates change meanwhile."`
	Delay   time.Duration `help:"Planted: the control plane says everything later than it claims."`
	Router  string        `help:"The router's program; without, hollymast beside this one." type:"path"`
}

func (c changesCmd) Run() error {
	router, err := routerProgram(c.Router)
	if err != nil {
		return err
	}
	if min(c.Number, c.Rate, c.Workers) < 1 || c.Every < time.Millisecond || c.Workers > 256 {
		return program.UsageError{Err: fmt.Errorf("a count below one, over 256 workers, or less than 1ms between changes")}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f, err := chaostest.RunChurn(ctx, chaostest.Churn{Seed: c.Seed, Changes: c.Number, Interval: c.Every, Rate: c.Rate, Workers: c.Workers, Delta: c.Delta,
		CutStreams: c.Cuts, LoseEndpoints: c.Loses, TLS: c.Keys, PublishDelay: c.Delay}, router)
	if err != nil {
		return err
	}
	fmt.Println(f)
	if !f.Passed() {
		return fmt.Errorf("a rule was broken")
	}
	return nil
}

type loadCmd struct {
	Rates       []int         `default:"1000" help:"Jobs a second; several are measured one after another."`
	Length      time.Duration `default:"10s" help:"Of each stream."`
	Connections int           `default:"64" help:"Client connections."`
	Servers     int           `default:"4" help:"Servers."`
	Functions   int           `default:"20" help:"Functions."`
	Idle        int           `default:"200" help:"Client connections that do nothing."`
	Bytes       int           `default:"64" help:"Bytes of tensors a job."`
	Recording   int           `help:"Measure this many pairs of streams more, one of each while the router records, and replay what was recorded."`
	Memory      int           `help:"Measure this many pairs of streams more, one of each through a router that has a memory."`
	TLS         int           `name:"tls" help:"Measure this many triples of streams more: in plain text, over TLS on all connections, and over TLS while keys change."`
	Strangers   int           `help:"Distinct functions that no server has, asked for in between; the stream is then measured again."`
	Router      string        `help:"The router's program; without, hollymast beside this one." type:"path"`
}

func (l loadCmd) Run() error {
	router, err := routerProgram(l.Router)
	if err != nil {
		return err
	}
	if min(l.Connections, l.Servers, l.Functions) < 1 || l.Idle < 0 {
		return program.UsageError{Err: fmt.Errorf("a count below one")}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Printf("%-20s %8s %8s %8s %8s %8s %8s %10s %10s\n", "path", "asked/s", "kept/s", "failed", "p50 us", "p99 us", "p99.9 us", "CPU us/job", "memory KB")
	for _, rate := range l.Rates {
		measured, err := chaostest.RunLoadTest(ctx, chaostest.LoadTest{Rate: rate, Length: l.Length, Connections: l.Connections, Servers: l.Servers,
			Functions: l.Functions, IdleConnections: l.Idle, TensorBytes: l.Bytes, UnknownFunctions: l.Strangers, RecordingPairs: l.Recording, TLSTriples: l.TLS, PersistencePairs: l.Memory}, router)
		if err != nil {
			return err
		}
		for _, m := range measured {
			fmt.Printf("%-20s %8d %8.0f %8d %8d %8d %8d %10.1f %10d\n", m.Path, rate, m.Throughput, m.Failed, m.P50, m.P99, m.P999, m.CPUPerRequest, m.MemoryKB)
			if m.RecordedBytes > 0 {
				fmt.Printf("  recorded %.1f bytes a job, %d turns lost, replayed alike %.0f times as fast\n", m.RecordedBytes, m.LostSteps, m.ReplaySpeed)
			}
			if m.Note != "" {
				fmt.Println("  " + m.Note)
			}
			for _, r := range m.Ratios {
				fmt.Printf("  with over without, %-9s median %.3f, quartiles %.3f to %.3f\n", r.Quantity, r.Median, r.Lower, r.Upper)
			}
		}
	}
	return nil
}
