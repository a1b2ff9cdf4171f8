package chaostest

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/fakeserver"
	"hollymast/internal/gateway"
	"hollymast/internal/inifile"
	"hollymast/internal/invariant"
	"hollymast/internal/modelserver"
	"hollymast/internal/simulation"
)

// Emulated is a day played in simulated time.
type SimulationResult struct {
	*invariant.Report
	InTime               float64 `json:"InTime"`
	WeightedInTime       float64 `json:"Worth"`
	Loads                int     `json:"Loads"`
	LoadCommands         int     `json:"Orders"`
	SlowStartUtilization float64 `json:"ColdUse"` // jobs that cold servers ran, of what they could in that time
	Utilization          float64 `json:"WarmUse"` // the same of all servers while they were warm
	Hash                 uint64  `json:"Hash"`
	Events               int     `json:"Events"`
	Steps                int     `json:"Turns"`
}

// Plan gives a day as the emulator plays it: the same calls, servers and settings as on sockets. An error names what is only there.
func (d *Scenario) SimulationPlan() (*simulation.Plan, error) {
	p := &harness{scenario: d}
	for range d.Routers {
		p.addresses = append(p.addresses, "127.0.0.1:1")
	}
	in, err := inifile.Parse("emulated", p.routerConfig(0))
	if err != nil {
		return nil, err
	}
	told, err := gateway.ParseConfig(in)
	if err != nil {
		return nil, err
	}
	plan := &simulation.Plan{Seed: d.Seed, Routers: d.Routers, Deployment: told.Deployment, LanesPerRequest: serverLanes, FetchTime: control.Micros(storeFetchTime.Microseconds()),
		ConcurrentFetches: storeConcurrency, Clients: d.LibraryClients, Duration: control.Micros(d.Length.Microseconds()), AnswerMargin: control.Micros(told.AnswerMargin.Microseconds()),
		OverloadProtection: d.DampOverload, EndpointPollInterval: control.Micros(told.EndpointFileInterval.Microseconds())}
	for i := range d.Workers {
		plan.Servers = append(plan.Servers, p.serverOptions(i).ModelConfig())
		plan.ServerZones = append(plan.ServerZones, control.ZoneID(i%3))
	}
	for i := range d.Routers {
		plan.RouterZones = append(plan.RouterZones, control.ZoneID(i%3))
	}
	for i, w := range told.Deployment.Classes {
		plan.Classes = append(plan.Classes, simulation.Class{Name: told.ClassNames[i], Spec: w, Importance: told.Priorities[i]})
	}
	for _, c := range d.schedule() {
		rude := d.ClientBehavior == "bad" || d.ClientBehavior == "mixed" && c.number%2 == 1 || c.noisyTenant
		plan.Calls = append(plan.Calls, simulation.Call{At: control.Micros(c.at.Microseconds()), Number: c.number, Class: slices.Index(told.ClassNames, c.workload.name),
			Function: c.function, Timeout: control.Micros(c.timeout.Microseconds()), RetriesBlindly: rude, FirstRouter: c.router})
	}
	for _, t := range d.Faults {
		x, err := d.simulatedFaults(t)
		if err != nil {
			return nil, err
		}
		plan.Incidents = append(plan.Incidents, x...)
	}
	return plan, nil
}

// emulated gives a trouble as the emulator has it; none where the calls have it already.
func (d *Scenario) simulatedFaults(t Fault) ([]simulation.Incident, error) {
	x := simulation.Incident{At: control.Micros(t.At.Microseconds()), Duration: control.Micros(t.Duration.Microseconds()), Targets: []int{t.Target}}
	of := d.Workers
	if strings.HasPrefix(t.Kind, "balancer") {
		of = d.Routers
	}
	if t.Target < 0 {
		x.Targets = nil
		for i := range of {
			x.Targets = append(x.Targets, i)
		}
	}
	x.Targets = slices.DeleteFunc(x.Targets, func(i int) bool { return i >= of })
	one := func(k simulation.IncidentKind) ([]simulation.Incident, error) {
		x.Kind = k
		return []simulation.Incident{x}, nil
	}
	fault := func(f fakeserver.Faults) ([]simulation.Incident, error) {
		x.Faults = f
		return one(simulation.ServerFault)
	}
	switch t.Kind {
	case "hot_key", "scan", "rise", "give_up":
		return nil, nil
	case "hang":
		return fault(modelserver.Faults{Silent: true})
	case "answer_lost":
		return fault(modelserver.Faults{LostAnswers: t.Share})
	case "reset_before":
		return fault(modelserver.Faults{ResetBefore: t.Share})
	case "reset_after":
		return fault(modelserver.Faults{ResetAfter: t.Share})
	case "refuse":
		return fault(modelserver.Faults{Overloaded: true})
	case "ageing":
		const steps = 5
		var xs []simulation.Incident
		x.Kind, x.Duration = simulation.ServerFault, x.Duration/steps
		for i := range steps {
			x.Faults = modelserver.Faults{Slowdown: 1 + (t.Factor-1)*float64(i+1)/steps}
			xs = append(xs, x)
			x.At += x.Duration
		}
		return xs, nil
	case "crash", "vanish":
		return one(simulation.ServerCrash)
	case "deploy":
		return one(simulation.ServerDeploy)
	case "origin_slow":
		x.StoreSlowdown = t.Factor
		return one(simulation.StoreDegraded)
	case "origin_stopped":
		x.StoreClosed = true
		return one(simulation.StoreDegraded)
	case "discovery_stale":
		return one(simulation.StaleEndpoints)
	case "balancer_stall":
		return one(simulation.RouterStall)
	case "balancer_kill", "balancer_roll":
		return one(simulation.RouterCrash)
	}
	return nil, fmt.Errorf("trouble %s: %s is played on sockets only", t.Name, t.Kind)
}

// Emulate plays a day in simulated time, with the module's decisions or a baseline's.
func Simulate(d *Scenario, threads int, decide func(now control.Micros, seed uint64, d control.Deployment) core.Policy) (*SimulationResult, error) {
	plan, err := d.SimulationPlan()
	if err != nil {
		return nil, err
	}
	if decide != nil && d.LoadCommandsOnly {
		return nil, errors.New("only orders load on this day, and textbook policies give none")
	}
	plan.NewPolicy = decide
	res := simulation.Run(plan, threads)
	p := &harness{scenario: d, servers: make([]*fakeserver.Server, d.Workers)}
	e := &SimulationResult{Report: invariant.Check(p.invariantConfig(), res.Records), Hash: res.Hash, Events: res.Events, Steps: res.Steps}
	e.SlowStartUtilization, e.Utilization = p.utilization(res.Records)
	in, worth, all := 0, 0.0, 0.0
	for i, x := range res.Outcomes {
		importance := plan.Classes[plan.Calls[i].Class].Importance
		if all += importance; x.InTime {
			in++
			worth += importance
		}
	}
	e.InTime, e.WeightedInTime = float64(in)/float64(max(1, len(res.Outcomes))), worth/max(1, all)
	for _, r := range res.Records {
		switch r.Kind {
		case invariant.LoadStarted:
			e.Loads++
		case invariant.LoadCommandReceived:
			e.LoadCommands++
		}
	}
	return e, nil
}

// use gives which part of what they could run cold and warm servers ran.
func (p *harness) utilization(recs []invariant.Record) (ofCold, ofWarm float64) {
	end := p.scenario.Length.Microseconds()
	var first int64
	if len(recs) > 0 {
		first = recs[0].At
	}
	born := map[int]int64{}
	ran, could := [2]float64{}, [2]float64{0, serverRate * float64(end) / 1e6 * float64(len(p.servers))}
	for _, r := range recs {
		at := r.At - first
		switch r.Kind {
		case invariant.ServerStarted:
			born[r.Server] = at
			aged := float64(min(end-at, slowStartDuration.Microseconds())) / 1e6
			could[0] += serverRate * aged * (slowStartInitial + (1-slowStartInitial)*aged/slowStartDuration.Seconds()/2)
			could[1] -= serverRate * aged
		case invariant.AttemptStarted:
			if b, started := born[r.Server]; started && at < b+slowStartDuration.Microseconds() {
				ran[0]++
			} else {
				ran[1]++
			}
		}
	}
	return ran[0] / max(1, could[0]), ran[1] / max(1, could[1])
}

// DayKey tells scripts of days apart.
func ScenarioHash(text []byte) uint64 { return xxhash.Sum64(text) }
