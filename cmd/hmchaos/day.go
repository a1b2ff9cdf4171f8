package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"hollymast/internal/chaostest"
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

// Run runs the scenario, prints the result and ends with an error if an invariant was violated.
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
	printFaults(result, scenario.Faults)
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

// scenario gives the script's scenario with what the flags replace.
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
	o := overrides{requests: d.Jobs, routers: d.Routers, workers: d.Workers, clients: d.Clients, behavior: chaostest.ClientBehavior(d.Manners)}
	return s, o.apply(s)
}

// verdict says whether all invariants held.
func verdict(passed bool) string {
	if passed {
		return "kept"
	}
	return "broken"
}
