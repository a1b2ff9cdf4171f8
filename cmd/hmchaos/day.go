package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hollymast/internal/chaostest"
	"hollymast/internal/program"
	"os"
	"os/signal"
	"syscall"
	"time"
)

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
