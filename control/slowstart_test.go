package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// slowStartSim simulates the slow start of a server for which uncoordinated routers have far more requests than it may
// get.
type slowStartSim struct {
	routers       int
	initialBudget float64                           // the server's budget in a window at its start, in requests
	window        Micros                            // the window of the budget
	restart       func(router int, age Micros) bool // called at each step of the server's age; nil: never restarts
	clockOffset   func(router int) Micros           // offset of a router's clock; nil: none
}

const (
	slowStartDuration = 10 * second
	initialCapacity   = 0.25
	simStep           = second / 50
	fullServers       = 5 // servers at full capacity
)

// maxRequestsInWindow returns how many requests a server in slow start can take in a window if its budget is n.
func maxRequestsInWindow(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// worstWindow runs the simulation. It returns the largest number of requests in any window as a multiple of the allowed
// number, the server's age when the last of them was sent, and how many they were.
func (sim slowStartSim) worstWindow() (largest float64, at Micros, n int) {
	const startedAt = 100_000 * second // larger than any clock offset
	config := testDeployment()
	config.Routers, config.OverloadWindow = sim.routers, sim.window
	config.SlowStartDuration, config.SlowStartInitial = slowStartDuration, initialCapacity
	// Answers per second of a server at full capacity.
	answerRate := sim.initialBudget / (config.OverloadFactor * initialCapacity * float64(sim.window) / 1e6)
	random := rand.New(rand.NewPCG(1, uint64(sim.routers)))
	routers := make([]*Balancer, sim.routers)
	start := func(i int, now Micros, listed bool) {
		config.RouterIndex = i
		now += sim.clockOffsetOf(i)
		b := New(now, uint64(i), config)
		var list []Endpoint
		for id := range fullServers {
			list = append(list, Endpoint{Server: ServerID(id + 1), State: Ready, Weight: 1})
		}
		if listed {
			list = append(list, Endpoint{Server: fullServers + 1, State: Ready, Weight: 1, StartedAt: startedAt + sim.clockOffsetOf(i)})
		}
		b.UpdateEndpoints(now, FullUpdate, list)
		routers[i] = b
	}
	for i := range routers {
		start(i, startedAt-3*second, false)
	}
	var sent []Micros
	for t := Micros(-3 * second); t < slowStartDuration; t += simStep {
		for i := range routers {
			if sim.restart != nil && t > 0 && sim.restart(i, t) {
				start(i, startedAt+t, true)
			}
			b := routers[i]
			now := startedAt + t + sim.clockOffsetOf(i)
			if t == 0 {
				b.UpdateEndpoints(now, IncrementalUpdate,
					[]Endpoint{{Server: fullServers + 1, State: Ready, Weight: 1, StartedAt: now}})
			}
			answers := fullServers * answerRate * float64(simStep) / 1e6 / float64(sim.routers)
			if t >= 0 {
				answers *= (fullServers + initialCapacity) / fullServers
			}
			for answers += random.Float64(); answers >= 1; answers-- {
				b.answers = append(b.answers, now)
			}
			if t%(second/5) == 0 {
				b.updateAnswerRate(now)
			}
			if t < 0 {
				continue
			}
			s := b.servers.at(b.servers.len - 1)
			for b.withinSlowStartBudget(now, s) {
				s.slowStartSends = append(s.slowStartSends, now)
				sent = append(sent, t)
			}
		}
	}
	return sim.worstWindowOf(sent)
}

// worstWindowOf finds the worst window, given the server's ages at which requests were sent; see worstWindow.
func (sim slowStartSim) worstWindowOf(sent []Micros) (largest float64, at Micros, n int) {
	slices.Sort(sent)
	from := 0
	for to, t := range sent {
		for sent[from] < t-sim.window {
			from++
		}
		capacity := initialCapacity + (1-initialCapacity)*float64(t)/float64(slowStartDuration)
		if ratio := float64(to+1-from) / maxRequestsInWindow(sim.initialBudget*capacity/initialCapacity); ratio > largest {
			largest, at, n = ratio, t, to+1-from
		}
	}
	return largest, at, n
}

func (sim slowStartSim) clockOffsetOf(router int) Micros {
	if sim.clockOffset == nil {
		return 0
	}
	return sim.clockOffset(router)
}

// All routers together keep within what a server in slow start can take in any window, however many they are and
// however they restart: a restarted router doesn't know what its earlier incarnation sent.
func TestSlowStartBudgetHoldsOverAllRouters(t *testing.T) {
	at := func(when Micros) func(int, Micros) bool { return func(_ int, age Micros) bool { return age == when } }
	tenthEvery := func(interval Micros) func(int, Micros) bool {
		return func(r int, age Micros) bool {
			return age > second && age%interval == 0 && age/interval-second/interval <= 10 && Micros(r%10) == age/interval%10
		}
	}
	for name, restart := range map[string]func(router int, age Micros) bool{
		"no restart": nil, "all at 0.3 s": at(300_000), "all at 2.1 s": at(2_100_000), "all at 2.5 s": at(2_500_000),
		"all each 1.3 s":     func(_ int, age Micros) bool { return age > 0 && age%1_300_000 == 0 },
		"a tenth each 0.5 s": tenthEvery(500_000), "a tenth each 0.1 s": tenthEvery(100_000)} {
		for _, routers := range []int{2, 3, 4, 5, 6, 30, 300} {
			for _, budget := range []float64{6, 25, 31, 50, 100, 200} {
				for _, window := range []Micros{second, 2 * second} {
					sim := slowStartSim{routers: routers, initialBudget: budget, window: window, restart: restart}
					if ratio, at, n := sim.worstWindow(); ratio > 1 {
						t.Errorf("%s, %d routers, budget %v in %d s: %d sent in the window that ends at an age of %.2f s, %.2f times the allowed number",
							name, routers, budget, window/second, n, float64(at)/1e6, ratio)
					}
				}
			}
		}
	}
}

// Routers take turns in the same order even if their clocks differ, because wall clocks were set between their starts.
func TestSlowStartBudgetHoldsWithClockOffsets(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	var drawn [300]Micros
	for i := range drawn {
		drawn[i] = Micros(random.Int64N(7200*second)) - 3600*second
	}
	for name, offset := range map[string]func(router int) Micros{
		"every second one an hour ahead": func(r int) Micros { return Micros(r%2) * (3600*second + 370_000) },
		"random":                         func(r int) Micros { return drawn[r] }, "each a window behind the previous one": func(r int) Micros { return Micros(-r) * second }} {
		for _, routers := range []int{6, 30, 300} {
			for _, budget := range []float64{6, 25, 50, 200} {
				sim := slowStartSim{routers: routers, initialBudget: budget, window: second, clockOffset: offset}
				if ratio, at, n := sim.worstWindow(); ratio > 1 {
					t.Errorf("%s, %d routers, budget %v: %d sent in the window that ends at an age of %.2f s, %.2f times the allowed number", name, routers,
						budget, n, float64(at)/1e6, ratio)
				}
			}
		}
	}
}

// When no server has answered for long, as after an outage of all servers, servers in slow start still get a request
// now and then, and no more: the answer rate follows from their answers.
func TestSlowStartIsNotStarvedWithoutAnswers(t *testing.T) {
	for _, routers := range []int{1, 2, 3, 6, 30, 300} {
		sim := slowStartSim{routers: routers, initialBudget: 0, window: second}
		ratio, at, n := sim.worstWindow()
		if ratio > 1 {
			t.Errorf("%d routers: %d sent in the window that ends at an age of %.2f s, where 3 are allowed", routers, n, float64(at)/1e6)
		}
		if n == 0 {
			t.Errorf("%d routers: nothing was sent", routers)
		}
	}
}
