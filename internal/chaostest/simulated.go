package chaostest

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/fakeserver"
	"hollymast/internal/gateway"
	"hollymast/internal/inifile"
	"hollymast/internal/invariant"
	"hollymast/internal/simulation"
)

// SimulationResult is the result of a simulated run. Scripts and other builds of hmchaos read its JSON form, so the names in the
// tags must not change.
type SimulationResult struct {
	*invariant.Report
	InTime               float64 `json:"InTime"` // share of calls that succeeded within their latency objective
	WeightedInTime       float64 `json:"Worth"`  // as InTime, with each call weighted by its workload's importance
	Loads                int     `json:"Loads"`
	LoadCommands         int     `json:"Orders"`
	SlowStartUtilization float64 `json:"ColdUse"` // attempts that servers ran in slow start, as a share of their capacity then
	Utilization          float64 `json:"WarmUse"` // the same outside slow start
	Hash                 uint64  `json:"Hash"`    // of all records, equal for equal runs
	Events               int     `json:"Events"`
	Steps                int     `json:"Turns"`
}

// PolicyFactory creates the policy of a router, such as a baseline policy.
type PolicyFactory = func(now control.Micros, seed uint64, d control.Deployment) core.Policy

// errNoLoadCommands is returned for a scenario that can't be simulated with a baseline policy.
var errNoLoadCommands = errors.New("servers of this scenario load on command only, and baseline policies send no load commands")

// Simulate runs a scenario in simulated time, with the balancer (a nil factory) or another policy. The number of threads doesn't
// change the result.
func Simulate(s *Scenario, threads int, newPolicy PolicyFactory) (*SimulationResult, error) {
	plan, err := s.simulationPlan()
	if err != nil {
		return nil, err
	}
	if newPolicy != nil && s.LoadCommandsOnly {
		return nil, errNoLoadCommands
	}
	plan.NewPolicy = newPolicy
	run := simulation.Run(plan, threads)
	h := &harness{scenario: s, servers: make([]*fakeserver.Server, s.Workers)}
	r := &SimulationResult{Report: invariant.Check(h.invariantConfig(), run.Records), Hash: run.Hash, Events: run.Events, Steps: run.Steps}
	use := h.utilization(run.Records)
	r.SlowStartUtilization, r.Utilization = use.slowStart, use.fullCapacity
	r.addOutcomes(plan, run.Outcomes)
	for _, record := range run.Records {
		switch record.Kind {
		case invariant.LoadStarted:
			r.Loads++
		case invariant.LoadCommandReceived:
			r.LoadCommands++
		}
	}
	return r, nil
}

func (r *SimulationResult) addOutcomes(plan *simulation.Plan, outcomes []simulation.CallOutcome) {
	inTime, weightInTime, weight := 0, 0.0, 0.0
	for i, o := range outcomes {
		importance := plan.Classes[plan.Calls[i].Class].Importance
		if weight += importance; o.InTime {
			inTime++
			weightInTime += importance
		}
	}
	r.InTime, r.WeightedInTime = share(inTime, len(outcomes)), weightInTime/max(1, weight)
}

// simulationPlan converts the scenario to a plan of the simulation, with the same calls, servers and settings as a run with real
// processes. It returns an error if a fault can't be simulated.
func (s *Scenario) simulationPlan() (*simulation.Plan, error) {
	h := &harness{scenario: s}
	for range s.Routers {
		h.addresses = append(h.addresses, "127.0.0.1:1") // needed in the configuration only
	}
	file, err := inifile.Parse("emulated", h.routerConfig(0))
	if err != nil {
		return nil, err
	}
	config, err := gateway.ParseConfig(file)
	if err != nil {
		return nil, err
	}
	plan := &simulation.Plan{Seed: s.Seed, Routers: s.Routers, Deployment: config.Deployment, LanesPerRequest: serverLanes, FetchTime: control.Micros(storeFetchTime.Microseconds()),
		MaxConcurrentFetches: storeConcurrency, Clients: s.LibraryClients, Duration: control.Micros(s.Length.Microseconds()), AnswerMargin: control.Micros(config.AnswerMargin.Microseconds()),
		OverloadProtection: s.OverloadProtection, EndpointPollInterval: control.Micros(config.EndpointFileInterval.Microseconds())}
	for i := range s.Workers {
		plan.Servers = append(plan.Servers, h.serverConfig(i).ModelConfig())
		plan.ServerZones = append(plan.ServerZones, control.ZoneID(i%zones))
	}
	for i := range s.Routers {
		plan.RouterZones = append(plan.RouterZones, control.ZoneID(i%zones))
	}
	for i, class := range config.Deployment.Classes {
		plan.Classes = append(plan.Classes, simulation.Class{Name: config.ClassNames[i], Spec: class, Importance: config.Priorities[i]})
	}
	for _, c := range s.schedule() {
		plan.Calls = append(plan.Calls, simulation.Call{At: control.Micros(c.at.Microseconds()), Number: c.number, Class: slices.Index(config.ClassNames, c.workload.name),
			Function: c.function, Timeout: control.Micros(c.timeout.Microseconds()), RetriesBlindly: s.retriesBlindly(&c), FirstRouter: c.router})
	}
	for _, f := range s.Faults {
		incidents, err := s.incidents(f)
		if err != nil {
			return nil, err
		}
		plan.Incidents = append(plan.Incidents, incidents...)
	}
	return plan, nil
}

// retriesBlindly reports whether a call's client retries almost immediately, at any router and without retry headers.
func (s *Scenario) retriesBlindly(c *call) bool {
	return c.noisyTenant || s.ClientBehavior == ClientsBlind || s.ClientBehavior == ClientsMixed && c.number%2 == 1
}

// incidents converts a fault to incidents of the simulation. There are none if the fault only changes the schedule of calls.
func (s *Scenario) incidents(f Fault) ([]simulation.Incident, error) {
	count := s.Workers
	if f.Kind.affectsRouters() {
		count = s.Routers
	}
	incident := simulation.Incident{At: control.Micros(f.At.Microseconds()), Duration: control.Micros(f.Duration.Microseconds()), Targets: f.targets(count)}
	switch f.Kind {
	case FaultHotFunction, FaultUniqueFunctions, FaultDemandSurge, FaultShortTimeouts:
		return nil, nil
	case FaultProgressiveSlowdown:
		return slowdownIncidents(incident, f.Factor), nil
	case FaultHang:
		incident.Kind, incident.Faults = simulation.ServerFault, fakeserver.Faults{Unresponsive: true}
	case FaultLostResponses:
		incident.Kind, incident.Faults = simulation.ServerFault, fakeserver.Faults{LostResponses: f.Share}
	case FaultResetBefore:
		incident.Kind, incident.Faults = simulation.ServerFault, fakeserver.Faults{ResetBefore: f.Share}
	case FaultResetAfter:
		incident.Kind, incident.Faults = simulation.ServerFault, fakeserver.Faults{ResetAfter: f.Share}
	case FaultServerOverloaded:
		incident.Kind, incident.Faults = simulation.ServerFault, fakeserver.Faults{Overloaded: true}
	case FaultCrash, FaultHangThenCrash:
		incident.Kind = simulation.ServerCrash
	case FaultDeploy:
		incident.Kind = simulation.ServerDeploy
	case FaultStoreSlow:
		incident.Kind, incident.StoreSlowdown = simulation.StoreDegraded, f.Factor
	case FaultStoreStopped:
		incident.Kind, incident.StoreClosed = simulation.StoreDegraded, true
	case FaultStaleEndpoints:
		incident.Kind = simulation.StaleEndpoints
	case FaultRouterStall:
		incident.Kind = simulation.RouterStall
	case FaultRouterKill, FaultRouterRestart:
		incident.Kind = simulation.RouterCrash
	default:
		return nil, fmt.Errorf("[trouble %s]: faults of kind %s can't be simulated", f.Name, f.Kind)
	}
	return []simulation.Incident{incident}, nil
}

// slowdownIncidents returns one incident for each step in which servers get slower, up to a factor.
func slowdownIncidents(incident simulation.Incident, factor float64) []simulation.Incident {
	var steps []simulation.Incident
	incident.Kind, incident.Duration = simulation.ServerFault, incident.Duration/slowdownSteps
	for i := range slowdownSteps {
		incident.Faults = fakeserver.Faults{Slowdown: 1 + (factor-1)*float64(i+1)/slowdownSteps}
		steps = append(steps, incident)
		incident.At += incident.Duration
	}
	return steps
}

// utilization is how many attempts servers ran, as a share of their capacity.
type utilization struct{ slowStart, fullCapacity float64 }

// utilization computes the utilization. The capacity of a server in slow start is the rate expected at its age, that of any other
// server the full rate.
func (h *harness) utilization(records []invariant.Record) utilization {
	type work struct{ run, capacity float64 } // in requests
	end := h.scenario.Length.Microseconds()
	slowStart, fullCapacity := work{}, work{capacity: serverRate * float64(end) / 1e6 * float64(len(h.servers))}
	var first int64
	if len(records) > 0 {
		first = records[0].At
	}
	startedAt := map[int]int64{}
	for _, r := range records {
		at := r.At - first
		switch r.Kind {
		case invariant.ServerStarted:
			startedAt[r.Server] = at
			age := float64(min(end-at, slowStartDuration.Microseconds())) / 1e6 // seconds in slow start until the end
			slowStart.capacity += serverRate * age * (slowStartInitial + (1-slowStartInitial)*age/slowStartDuration.Seconds()/2)
			fullCapacity.capacity -= serverRate * age
		case invariant.AttemptStarted:
			if started, restarted := startedAt[r.Server]; restarted && at < started+slowStartDuration.Microseconds() {
				slowStart.run++
			} else {
				fullCapacity.run++
			}
		}
	}
	return utilization{slowStart.run / max(1, slowStart.capacity), fullCapacity.run / max(1, fullCapacity.capacity)}
}

// ScenarioHash returns a hash of the text of a scenario.
func ScenarioHash(text []byte) uint64 { return xxhash.Sum64(text) }
