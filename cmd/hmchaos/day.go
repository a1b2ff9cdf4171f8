package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"hollymast/internal/chaostest"
)

type dayCmd struct {
	Seed     uint64        `default:"1" help:"Seed of the run."`
	Jobs     int           `help:"Number of calls, without retries; 0: as in the script."`
	Routers  int           `help:"Number of routers; 0: as in the script."`
	Workers  int           `help:"Number of workers; 0: as in the script."`
	Script   string        `help:"Scenario (INI); default: the built-in one." type:"path"`
	Router   string        `help:"Executable of the router; default: hollymast in the directory of this program." type:"path"`
	Orders   bool          `name:"orders-only" help:"Workers load functions on command only. Without this flag and without a script they do so for even seeds, and also load on a cache miss for odd ones."`
	Memory   string        `enum:",none,limits,kept,old,other" default:"" help:"Persisted state that a restarted router finds: none, limits (only the journal of attempts), kept (everything), old (as if written a month ago), other (learned under different load); default: as in the script."`
	Record   string        `help:"Folder for recordings, with a subfolder for each router." type:"path"`
	Manners  string        `enum:",usual,good,bad,mixed" default:"" help:"How clients retry: usual, good (with the client library), bad (almost immediately, without retry headers), mixed (half good, half bad); default: as in the script."`
	Clients  int           `help:"Number of clients that use the client library, each with its own connections; 0: as in the script."`
	Within   bool          `help:"The noisy tenant of a one_tenant fault stays within its quota."`
	Undamped bool          `help:"Turn off the routers' overload protection."`
	Plot     string        `help:"File for a PNG plot of the run, second by second." type:"path"`
	JSON     bool          `name:"json" help:"Print the result as JSON before the verdict."`
	Most     time.Duration `default:"10m" help:"Abort the run after this time."`
}

// Run runs the scenario, prints the result and returns an error if an invariant was violated.
func (d dayCmd) Run() error {
	scenario, err := d.scenario()
	if err != nil {
		return err
	}
	router, err := routerProgram(d.Router)
	if err != nil {
		return err
	}
	ctx, stop := untilInterrupted()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, d.Most)
	defer cancel()
	result, err := chaostest.Run(ctx, scenario, router)
	if err != nil {
		return err
	}
	if d.JSON {
		b, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(b))
	} else {
		printResult(result)
	}
	printFaultImpact(result, scenario.Faults)
	if d.Plot != "" {
		if err := chaostest.Plot(result.Seconds, scenario.Name, d.Plot); err != nil {
			return err
		}
	}
	fmt.Printf("verdict: %s jobs=%d finished=%d pushed_back=%d killed=%d unanswered=%d in_time=%.3f worth=%.3f storms=%d\n", verdict(result.Passed()), result.Requests,
		result.Succeeded, result.Rejected, result.Failed, result.Unanswered, result.InTime, result.WeightedInTime, result.Overloads)
	if !result.Passed() {
		return fmt.Errorf("%w (the routers' logs are kept in %s)", errViolation, result.LogDir())
	}
	return nil
}

// scenario returns the scenario of the script, with the changes that the flags make.
func (d dayCmd) scenario() (*chaostest.Scenario, error) {
	text, err := readScript(d.Script)
	if err != nil {
		return nil, err
	}
	s, err := chaostest.ParseScenario(d.Script, text)
	if err != nil {
		return nil, err
	}
	s.Seed, s.RecordDir, s.TenantWithinQuota = d.Seed, d.Record, d.Within
	s.LoadCommandsOnly = s.LoadCommandsOnly || d.Orders || d.Script == "" && d.Seed%2 == 0
	s.OverloadProtection = s.OverloadProtection && !d.Undamped
	if d.Memory != "" {
		s.RouterState = chaostest.RouterState(d.Memory)
	}
	o := overrides{calls: d.Jobs, routers: d.Routers, workers: d.Workers, clients: d.Clients, behavior: chaostest.ClientBehavior(d.Manners)}
	return s, o.apply(s)
}

// verdict returns the printed verdict of a run; passed means that no invariant was violated.
func verdict(passed bool) string {
	if passed {
		return "kept"
	}
	return "broken"
}
