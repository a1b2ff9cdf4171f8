// Package soak plays seeded faults against router processes on loopback, and judges what crossed the sockets by the
// platform's rules. Routers are real processes; discovery, model servers and clients are this process's own. A seed draws
// everything that is drawn: sizes, settings, traffic and faults. Times are real, so that two plays of a seed differ in
// their interleavings.
package soak

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario is what one run plays.
type Scenario struct {
	Seed            uint64
	TrafficDuration time.Duration // of the traffic
	Routers         int
	Servers         int
	Zones           int

	Functions          int
	MeanLoadTime       time.Duration // mean time to load a function
	MeanExecutionTime  time.Duration // mean execution time on a server of speed 1
	Cores              int           // of a server: how many requests it executes at once
	SlowSpeed          float64       // of every second server; the others' is 1
	WeightedEndpoints  bool          // the endpoint list states how much a server can do
	MaxLoadedFunctions int           // functions that a server holds loaded
	TargetUtilization  float64       // the part of all servers' capacity that clients ask for

	Classes            []Class
	DrainGrace         time.Duration // for which new requests may go to a server that drains
	SlowStartDuration  time.Duration
	SlowStartInitial   float64
	OverloadWindow     time.Duration
	OverloadFactor     float64
	LoadRateWindow     time.Duration // of the limit on load commands; 0: none
	LoadRateBase       float64
	LoadRatePerRequest float64

	ExecutionTimeSigma float64       // of execution times, of a function's and of its requests': of their logarithms
	CancelShare        float64       // of requests that their clients cancel
	ShortDeadlineShare float64       // of requests that come with a small part of their class's deadline left
	DropsExpired       bool          // servers drop requests whose time is up without a word
	ServerIdleTimeout  time.Duration // after which servers close connections that are idle

	MalformedClients bool // hundreds of connections that send nothing, or what can't be read
	Faults           []Fault
}

// Class is a class of requests.
type Class struct {
	Name      string
	Semantics Semantics
	Objective time.Duration
	Deadline  time.Duration
	Window    time.Duration // for which servers remember an idempotency key
	Share     float64       // of all requests
}

// Semantics says what a second execution of a request does, in the settings' words.
type Semantics string

// The semantics.
const (
	Idempotent      Semantics = "pure"
	IdempotentByKey Semantics = "token"
	NonIdempotent   Semantics = "side_effect"
)

// FaultKind is what a fault does.
type FaultKind string

// The kinds of faults.
const (
	// RollServers drains Count servers, stops them once that is over, and has them back in slow start.
	RollServers FaultKind = "roll-servers"
	// DrainAll drains all servers that are ready, and has them ready again after For, without a restart. Servers that return
	// from a restart meanwhile are the only ready ones.
	DrainAll FaultKind = "drain-all"
	// CrashServers ends Count servers without a word; they are back in slow start after For.
	CrashServers FaultKind = "crash-servers"
	// ReplaceServers replaces Count servers by new ones within For.
	ReplaceServers FaultKind = "replace-servers"
	// HangServers keeps Count servers from answering for For.
	HangServers FaultKind = "hang-servers"
	// ResetConns resets the connections of Count servers.
	ResetConns FaultKind = "reset-connections"
	// DisruptResponses loses, spoils or doubles some answers for For.
	DisruptResponses FaultKind = "lose-answers"
	// DiscoveryDown has discovery break off and accept nothing for For.
	DiscoveryDown FaultKind = "discovery-down"
	// DiscoverySilent has open watches fall silent for For.
	DiscoverySilent FaultKind = "discovery-silent"
	// MoveDiscovery gives discovery another address and sends all routers SIGHUP.
	MoveDiscovery FaultKind = "move-discovery"
	// RestartRouters sends SIGTERM to Count routers, one after the other, kills what is left at the earliest time, and starts
	// them again.
	RestartRouters FaultKind = "restart-routers"
	// KillRouters kills Count routers outright and starts them again.
	KillRouters FaultKind = "kill-routers"
	// StallRouters stops the processes of Count routers for For.
	StallRouters FaultKind = "stall-routers"
	// ThrottleRouters lets the processes of Count routers run for a quarter of each 0.1 s only, for For.
	ThrottleRouters FaultKind = "throttle-routers"
	// PartitionZone keeps all servers of a zone from answering for For.
	PartitionZone FaultKind = "partition-zone"
	// Burst multiplies the traffic for For.
	Burst FaultKind = "burst"
	// Quiet leaves almost no traffic for For.
	Quiet FaultKind = "quiet"
)

// Fault is one fault of a scenario.
type Fault struct {
	At       time.Duration // after the traffic's start
	Kind     FaultKind
	Count    int
	Duration time.Duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%.1f s %s count=%d for=%v", f.At.Seconds(), f.Kind, f.Count, f.Duration.Round(time.Millisecond))
}

// between draws a number evenly.
func between(random *rand.Rand, low, high float64) float64 { return low + (high-low)*random.Float64() }

// spanBetween draws a duration evenly.
func spanBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(float64(high-low)*random.Float64())
}

// countBetween draws a whole number evenly, both ends included.
func countBetween(random *rand.Rand, low, high int) int { return low + random.IntN(high-low+1) }

// newRandom returns the generator of one part of a seed's draws.
func newRandom(seed uint64, part string) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// GenerateScenario returns the scenario of a seed.
func GenerateScenario(seed uint64, length time.Duration) *Scenario {
	random := newRandom(seed, "scenario")
	s := &Scenario{
		Seed: seed, TrafficDuration: length,
		Routers: countBetween(random, 1, 6), Servers: countBetween(random, 3, 20), Zones: countBetween(random, 1, 3),
		Functions: countBetween(random, 10, 50), MeanLoadTime: spanBetween(random, 100*time.Millisecond, 500*time.Millisecond),
		MeanExecutionTime: spanBetween(random, 30*time.Millisecond, 90*time.Millisecond), Cores: countBetween(random, 2, 4),
		SlowSpeed: between(random, 0.5, 1), TargetUtilization: between(random, 0.35, 0.6),
		DrainGrace:        spanBetween(random, 400*time.Millisecond, 800*time.Millisecond),
		SlowStartDuration: spanBetween(random, 7*time.Second, 17*time.Second), SlowStartInitial: between(random, 0.25, 0.45),
		OverloadWindow:   []time.Duration{time.Second, time.Second, 500 * time.Millisecond, 2 * time.Second}[random.IntN(4)],
		OverloadFactor:   between(random, 2, 5),
		MalformedClients: random.IntN(4) == 0,
	}
	s.MaxLoadedFunctions = max(4, 3*s.Functions/s.Servers)
	s.Classes = drawClasses(random, s.MeanExecutionTime)
	if random.IntN(4) == 0 {
		s.LoadRateWindow, s.LoadRateBase, s.LoadRatePerRequest = 5*time.Second, float64(4+random.IntN(8)), between(random, 0.2, 0.5)
	}
	s.Faults = drawFaults(random, s)
	s.WeightedEndpoints = random.IntN(2) == 0
	s.ExecutionTimeSigma, s.CancelShare = between(random, 0.2, 0.7), between(random, 0.01, 0.1)
	s.ShortDeadlineShare, s.DropsExpired = between(random, 0, 0.1), random.IntN(2) == 0
	s.ServerIdleTimeout = spanBetween(random, 2*time.Second, 15*time.Second)
	if random.IntN(5) == 0 { // overload
		s.TargetUtilization = between(random, 0.8, 1.2)
	}
	return s
}

// drawClasses draws two or three classes of different semantics.
func drawClasses(random *rand.Rand, mean time.Duration) []Class {
	var classes []Class
	semantics := []Semantics{Idempotent, IdempotentByKey, NonIdempotent}
	random.Shuffle(len(semantics), func(i, j int) { semantics[i], semantics[j] = semantics[j], semantics[i] })
	short := random.IntN(3) == 0
	for i, what := range semantics[:countBetween(random, 2, 3)] {
		objective := max(8*mean, spanBetween(random, 400*time.Millisecond, time.Second))
		deadline := spanBetween(random, 2*time.Second, 5*time.Second)
		if short {
			objective, deadline = 6*mean, 8*mean+spanBetween(random, 0, 400*time.Millisecond)
		}
		classes = append(classes, Class{Name: fmt.Sprintf("class-%c", 'a'+i), Semantics: what, Objective: objective.Round(time.Millisecond),
			Deadline: deadline.Round(time.Millisecond), Window: 5 * time.Second, Share: between(random, 0.2, 1)})
	}
	return classes
}

// rollEvery is the time between two rolls of servers: longer than it takes one to be back.
const rollEvery = 6 * time.Second

// drawFaults draws the faults: a rolling restart of servers throughout, and others beside it. Restarts of routers come in
// series.
func drawFaults(random *rand.Rand, s *Scenario) []Fault {
	var faults []Fault
	for at := 3 * time.Second; at < s.TrafficDuration-rollEvery; at += rollEvery {
		faults = append(faults, Fault{At: at, Kind: RollServers, Count: countBetween(random, 1, max(1, s.Servers/4))})
	}
	add := func(kind FaultKind, count int, longest time.Duration) {
		faults = append(faults, Fault{At: spanBetween(random, 4*time.Second, s.TrafficDuration-4*time.Second), Kind: kind, Count: count,
			Duration: spanBetween(random, longest/4, longest)})
	}
	some := func(n int) int { return countBetween(random, 1, max(1, n)) }
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
	for _, draw := range kinds[:countBetween(random, 3, 8)] {
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

// serverRate returns how many requests of mean work per second a server of a speed executes.
func (s *Scenario) serverRate(speed float64) float64 {
	return speed * float64(s.Cores) / s.MeanExecutionTime.Seconds()
}

// requestRate returns how many requests per second clients send.
func (s *Scenario) requestRate() float64 {
	rate := 0.0
	for nth := range s.Servers {
		rate += s.serverRate(s.speed(nth))
	}
	const most = 300 // per second and router: more would measure this machine
	return min(s.TargetUtilization*rate, float64(most*s.Routers))
}

// capacity returns the part of its full capacity that a server has at an age.
func (s *Scenario) capacity(age time.Duration) float64 {
	return min(1, s.SlowStartInitial+(1-s.SlowStartInitial)*float64(max(0, age))/float64(s.SlowStartDuration))
}

// startBudget returns N, the requests of mean work that a server in slow start may get in an overload window at an age.
func (s *Scenario) startBudget(speed float64, age time.Duration) float64 {
	return s.OverloadFactor * s.capacity(age) * s.serverRate(speed) * s.OverloadWindow.Seconds()
}

// bearable returns how many requests of mean work a server bears whose budget is n: what the platform's pages allow for
// random variation.
func bearable(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// earliestKill returns when a router that got SIGTERM may be killed.
func (s *Scenario) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}
