// Package soak runs router processes on loopback under seeded random faults, and checks what crossed the sockets against the
// platform's rules. Routers are real processes; discovery, model servers and clients run in this process. The seed determines the
// sizes, settings, traffic and faults. Time is real, so two runs of one seed differ in how events interleave.
package soak

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario is the randomly drawn configuration of one run.
type Scenario struct {
	Seed            uint64
	TrafficDuration time.Duration // how long clients send requests
	Routers         int
	Servers         int
	Zones           int

	Functions          int
	MeanLoadTime       time.Duration
	MeanExecutionTime  time.Duration // on a server of speed 1
	Cores              int           // per server: how many requests it executes at once
	SlowSpeed          float64       // of every second server; the others have speed 1
	WeightedEndpoints  bool          // the weights in the endpoint list reflect each server's speed and cores
	MaxLoadedFunctions int           // per server
	TargetUtilization  float64       // requested share of the total capacity of all servers

	Classes            []Class
	DrainGrace         time.Duration // how long a draining server may still get new requests
	SlowStartDuration  time.Duration
	SlowStartInitial   float64
	OverloadWindow     time.Duration
	OverloadFactor     float64
	LoadRateWindow     time.Duration // of the rate limit on load commands; 0: no limit
	LoadRateBase       float64
	LoadRatePerRequest float64

	ExecutionTimeSigma float64       // log-normal sigma of execution times (per function and per request) and of load times
	CancelShare        float64       // share of requests that their clients cancel
	ShortDeadlineShare float64       // share of requests whose timeout is a small part of their class's deadline
	DropsExpired       bool          // servers drop expired requests without a response
	ServerIdleTimeout  time.Duration // after which servers close idle connections

	DiscoveryAnswerDelay time.Duration // how long discovery takes to answer a subscription

	MalformedClients bool // open connections by the hundred that send nothing or unparseable data
	Faults           []Fault
}

// Class is a class of requests.
type Class struct {
	Name      string
	Semantics Semantics
	Objective time.Duration
	Deadline  time.Duration
	Window    time.Duration // how long servers remember an idempotency key
	Share     float64       // relative share of requests
}

// Semantics says whether a request may be executed more than once. The values are those of the settings.
type Semantics string

// The semantics of requests.
const (
	Idempotent      Semantics = "pure"
	IdempotentByKey Semantics = "token"
	NonIdempotent   Semantics = "side_effect"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// RollServers drains Count servers, stops them once the drain is over, and restarts them in slow start.
	RollServers FaultKind = "roll-servers"
	// DrainAll drains all ready servers and makes them ready again after Duration, without a restart. Until then, only servers
	// that come back from a restart are ready.
	DrainAll FaultKind = "drain-all"
	// CrashServers stops Count servers without announcing it and restarts them in slow start after Duration.
	CrashServers FaultKind = "crash-servers"
	// ReplaceServers replaces Count servers by new ones within Duration.
	ReplaceServers FaultKind = "replace-servers"
	// HangServers makes Count servers withhold their responses for Duration.
	HangServers FaultKind = "hang-servers"
	// ResetConns resets the connections of Count servers.
	ResetConns FaultKind = "reset-connections"
	// DisruptResponses loses, corrupts, duplicates or delays some responses, or resets their connections, for Duration.
	DisruptResponses FaultKind = "lose-answers"
	// DiscoveryDown closes all discovery watches and accepts no connections for Duration.
	DiscoveryDown FaultKind = "discovery-down"
	// DiscoverySilent stops all sending on the discovery watches that are open; routers must reconnect.
	DiscoverySilent FaultKind = "discovery-silent"
	// MoveDiscovery moves discovery to another address and sends all routers SIGHUP.
	MoveDiscovery FaultKind = "move-discovery"
	// RestartRouters sends SIGTERM to Count routers, one after the other, kills those that have not exited by the earliest time
	// allowed, and starts them again.
	RestartRouters FaultKind = "restart-routers"
	// KillRouters kills Count routers with SIGKILL and starts them again.
	KillRouters FaultKind = "kill-routers"
	// StallRouters suspends the processes of Count routers for Duration.
	StallRouters FaultKind = "stall-routers"
	// ThrottleRouters lets the processes of Count routers run only a quarter of each 0.1 s, for Duration.
	ThrottleRouters FaultKind = "throttle-routers"
	// FloodRouters lets some clients of Count routers send messages without effect at full speed, for Duration.
	FloodRouters FaultKind = "flood-routers"
	// PartitionZone makes all servers of a zone withhold their responses for Duration.
	PartitionZone FaultKind = "partition-zone"
	// Burst multiplies the request rate for Duration.
	Burst FaultKind = "burst"
	// Quiet reduces the request rate to almost nothing for Duration.
	Quiet FaultKind = "quiet"
)

// Fault is one fault of a scenario.
type Fault struct {
	At       time.Duration // since the start of the traffic
	Kind     FaultKind
	Count    int
	Duration time.Duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%.1f s %s count=%d for=%v", f.At.Seconds(), f.Kind, f.Count, f.Duration.Round(time.Millisecond))
}

// uniform returns a uniformly distributed number.
func uniform(random *rand.Rand, low, high float64) float64 { return low + (high-low)*random.Float64() }

func uniformDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(float64(high-low)*random.Float64())
}

// uniformInt returns a uniformly distributed integer, both ends included.
func uniformInt(random *rand.Rand, low, high int) int { return low + random.IntN(high-low+1) }

// newRandom returns the random generator for one named part of a seed's scenario or run.
func newRandom(seed uint64, part string) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// GenerateScenario draws a scenario from a seed.
func GenerateScenario(seed uint64, trafficDuration time.Duration) *Scenario {
	random := newRandom(seed, "scenario")
	s := &Scenario{
		Seed: seed, TrafficDuration: trafficDuration,
		Routers: uniformInt(random, 1, 6), Servers: uniformInt(random, 3, 20), Zones: uniformInt(random, 1, 3),
		Functions: uniformInt(random, 10, 50), MeanLoadTime: uniformDuration(random, 100*time.Millisecond, 500*time.Millisecond),
		MeanExecutionTime: uniformDuration(random, 30*time.Millisecond, 90*time.Millisecond), Cores: uniformInt(random, 2, 4),
		SlowSpeed: uniform(random, 0.5, 1), TargetUtilization: uniform(random, 0.35, 0.6),
		DrainGrace:        uniformDuration(random, 400*time.Millisecond, 800*time.Millisecond),
		SlowStartDuration: uniformDuration(random, 7*time.Second, 17*time.Second), SlowStartInitial: uniform(random, 0.25, 0.45),
		OverloadWindow:   []time.Duration{time.Second, time.Second, 500 * time.Millisecond, 2 * time.Second}[random.IntN(4)],
		OverloadFactor:   uniform(random, 2, 5),
		MalformedClients: random.IntN(4) == 0,
	}
	s.MaxLoadedFunctions = max(4, 3*s.Functions/s.Servers)
	s.Classes = drawClasses(random, s.MeanExecutionTime)
	if random.IntN(4) == 0 {
		s.LoadRateWindow, s.LoadRateBase, s.LoadRatePerRequest = 5*time.Second, float64(4+random.IntN(8)), uniform(random, 0.2, 0.5)
	}
	s.Faults = drawFaults(random, s)
	s.Faults = append(s.Faults, drawFlood(newRandom(seed, "flood"), s)...)
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	s.WeightedEndpoints = random.IntN(2) == 0
	s.ExecutionTimeSigma, s.CancelShare = uniform(random, 0.2, 0.7), uniform(random, 0.01, 0.1)
	s.ShortDeadlineShare, s.DropsExpired = uniform(random, 0, 0.1), random.IntN(2) == 0
	s.ServerIdleTimeout = uniformDuration(random, 2*time.Second, 15*time.Second)
	if random.IntN(5) == 0 { // overload
		s.TargetUtilization = uniform(random, 0.8, 1.2)
	}
	if random := newRandom(seed, "discovery"); random.IntN(3) == 0 { // crowded discovery
		s.DiscoveryAnswerDelay = uniformDuration(random, 200*time.Millisecond, maxDiscoveryAnswerDelay)
	}
	return s
}

// maxDiscoveryAnswerDelay leaves half of the 4 s after which every event counts as announced to notice that a watch is silent.
const maxDiscoveryAnswerDelay = 2 * time.Second

// drawClasses draws two or three classes of different semantics.
func drawClasses(random *rand.Rand, mean time.Duration) []Class {
	var classes []Class
	semantics := []Semantics{Idempotent, IdempotentByKey, NonIdempotent}
	random.Shuffle(len(semantics), func(i, j int) { semantics[i], semantics[j] = semantics[j], semantics[i] })
	short := random.IntN(3) == 0
	for i, semantic := range semantics[:uniformInt(random, 2, 3)] {
		objective := max(8*mean, uniformDuration(random, 400*time.Millisecond, time.Second))
		deadline := uniformDuration(random, 2*time.Second, 5*time.Second)
		if short {
			objective, deadline = 6*mean, 8*mean+uniformDuration(random, 0, 400*time.Millisecond)
		}
		classes = append(classes, Class{Name: fmt.Sprintf("class-%c", 'a'+i), Semantics: semantic, Objective: objective.Round(time.Millisecond),
			Deadline: deadline.Round(time.Millisecond), Window: 5 * time.Second, Share: uniform(random, 0.2, 1)})
	}
	return classes
}

// rollInterval is the time between the starts of two rolls of servers, about as long as a roll takes.
const rollInterval = 6 * time.Second

// drawFaults draws the faults: rolling restarts of servers throughout the run, and three to eight faults of other kinds.
func drawFaults(random *rand.Rand, s *Scenario) []Fault {
	var faults []Fault
	for at := 3 * time.Second; at < s.TrafficDuration-rollInterval; at += rollInterval {
		faults = append(faults, Fault{At: at, Kind: RollServers, Count: uniformInt(random, 1, max(1, s.Servers/4))})
	}
	add := func(kind FaultKind, count int, maxDuration time.Duration) {
		faults = append(faults, Fault{At: uniformDuration(random, 4*time.Second, s.TrafficDuration-4*time.Second), Kind: kind, Count: count,
			Duration: uniformDuration(random, maxDuration/4, maxDuration)})
	}
	some := func(n int) int { return uniformInt(random, 1, max(1, n)) }
	kinds := []func(){
		func() { add(DrainAll, 0, 4*time.Second) },
		func() { add(DrainAll, 0, 12*time.Second) },
		func() { add(CrashServers, some(s.Servers), 6*time.Second) },
		func() { add(ReplaceServers, some(2*s.Servers/3), 7*time.Second) },
		func() { add(HangServers, some(s.Servers/3), 8*time.Second) },
		func() { add(ResetConns, some(s.Servers), 0) },
		func() { add(DisruptResponses, 0, 10*time.Second) },
		func() { add(DiscoveryDown, 0, 8*time.Second) },
		func() { add(DiscoverySilent, 0, 6*time.Second) },
		func() { add(MoveDiscovery, 0, 0) },
		func() { add(RestartRouters, s.Routers, 0) },
		func() { add(KillRouters, some(s.Routers), 0) },
		func() { add(StallRouters, some(s.Routers), 2*time.Second) },
		func() { add(ThrottleRouters, some(s.Routers), 8*time.Second) },
		func() { add(PartitionZone, 0, 8*time.Second) },
		func() { add(Burst, 0, 6*time.Second) },
		func() { add(Quiet, 0, 15*time.Second) },
	}
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for _, draw := range kinds[:uniformInt(random, 3, 8)] {
		draw()
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// speed returns the speed of the nth server.
func (s *Scenario) speed(nth int) float64 {
	if nth%2 == 1 {
		return s.SlowSpeed
	}
	return 1
}

// serverRate returns how many requests of mean execution time a server of a given speed executes per second.
func (s *Scenario) serverRate(speed float64) float64 {
	return speed * float64(s.Cores) / s.MeanExecutionTime.Seconds()
}

// requestRate returns how many requests clients send per second.
func (s *Scenario) requestRate() float64 {
	rate := 0.0
	for nth := range s.Servers {
		rate += s.serverRate(s.speed(nth))
	}
	const maxRatePerRouter = 300 // a higher rate would measure the machine that runs the test
	return min(s.TargetUtilization*rate, float64(maxRatePerRouter*s.Routers))
}

// slowStartCapacity returns the share of its full capacity that a server has at an age.
func (s *Scenario) slowStartCapacity(age time.Duration) float64 {
	return min(1, s.SlowStartInitial+(1-s.SlowStartInitial)*float64(max(0, age))/float64(s.SlowStartDuration))
}

// slowStartBudget returns N, how many requests of mean execution time a server in slow start may get in an overload window at an
// age.
func (s *Scenario) slowStartBudget(speed float64, age time.Duration) float64 {
	return s.OverloadFactor * s.slowStartCapacity(age) * s.serverRate(speed) * s.OverloadWindow.Seconds()
}

// toleratedRequests returns how many requests of mean execution time a server with budget n tolerates before it collapses: the
// platform's specification adds a margin for random variation.
func toleratedRequests(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// earliestKill returns how long after SIGTERM a router may be killed at the earliest.
func (s *Scenario) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}
