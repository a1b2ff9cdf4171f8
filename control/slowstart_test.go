package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// day simulates a slow start while uncoordinated routers have far more requests for the server than it may get.
type day struct {
	routers int
	calls   float64                           // N at the server's start
	window  Micros                            // the window of the budget
	restart func(router int, age Micros) bool // called at each step of the server's age; nil: never restarts
	offset  func(router int) Micros           // of a router's clock; nil: none
}

const (
	slowStartDuration = 10 * second
	initialCapacity   = 0.25
	step              = second / 50
	fullServers       = 5 // servers at full capacity
)

// bound returns what a server in slow start bears in the window, where N requests are its budget.
func bound(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// worstWindow simulates a day. It returns the largest number of requests in any window as a multiple of the bound, when
// the last of them was sent, and how many they were.
func (d day) worstWindow() (largest float64, at Micros, n int) {
	const startedAt = 100_000 * second // above any offset
	config := deployment()
	config.Routers, config.OverloadWindow = d.routers, d.window
	config.SlowStartDuration, config.SlowStartInitial = slowStartDuration, initialCapacity
	// Answers per second of a server at full capacity.
	answerRate := d.calls / (config.OverloadFactor * initialCapacity * float64(d.window) / 1e6)
	random := rand.New(rand.NewPCG(1, uint64(d.routers)))
	routers := make([]*Balancer, d.routers)
	start := func(i int, now Micros, listed bool) {
		config.RouterIndex = i
		now += d.clock(i)
		r := New(now, uint64(i), config)
		var list []Endpoint
		for id := range fullServers {
			list = append(list, Endpoint{Server: ServerID(id + 1), State: Ready, Weight: 1})
		}
		if listed {
			list = append(list, Endpoint{Server: fullServers + 1, State: Ready, Weight: 1, StartedAt: startedAt + d.clock(i)})
		}
		r.UpdateEndpoints(now, FullUpdate, list)
		routers[i] = r
	}
	for i := range routers {
		start(i, startedAt-3*second, false)
	}
	var sent []Micros
	for t := Micros(-3 * second); t < slowStartDuration; t += step {
		for i := range routers {
			if d.restart != nil && t > 0 && d.restart(i, t) {
				start(i, startedAt+t, true)
			}
			r := routers[i]
			now := startedAt + t + d.clock(i)
			if t == 0 {
				r.UpdateEndpoints(now, IncrementalUpdate,
					[]Endpoint{{Server: fullServers + 1, State: Ready, Weight: 1, StartedAt: now}})
			}
			answers := fullServers * answerRate * float64(step) / 1e6 / float64(d.routers)
			if t >= 0 {
				answers *= (fullServers + initialCapacity) / fullServers
			}
			for answers += random.Float64(); answers >= 1; answers-- {
				r.answers = append(r.answers, now)
			}
			if t%(second/5) == 0 {
				r.updateAnswerRate(now)
			}
			if t < 0 {
				continue
			}
			s := r.servers.at(r.servers.len - 1)
			for r.withinSlowStartBudget(now, s) {
				s.slowStartSends = append(s.slowStartSends, now)
				sent = append(sent, t)
			}
		}
	}
	return d.worstOf(sent)
}

// worstOf finds the worst window among the ages at which requests were sent to the server; see worstWindow.
func (d day) worstOf(sent []Micros) (largest float64, at Micros, n int) {
	slices.Sort(sent)
	from := 0
	for to, t := range sent {
		for sent[from] < t-d.window {
			from++
		}
		capacity := initialCapacity + (1-initialCapacity)*float64(t)/float64(slowStartDuration)
		if ratio := float64(to+1-from) / bound(d.calls*capacity/initialCapacity); ratio > largest {
			largest, at, n = ratio, t, to+1-from
		}
	}
	return largest, at, n
}

func (d day) clock(router int) Micros {
	if d.offset == nil {
		return 0
	}
	return d.offset(router)
}

// All routers together keep within what a server in slow start bears in any window, however few or many they are,
// and however they restart: a restarted router has forgotten what its earlier incarnation sent.
func TestSlowStartBudgetHoldsOverAllRouters(t *testing.T) {
	at := func(when Micros) func(int, Micros) bool { return func(_ int, age Micros) bool { return age == when } }
	tenths := func(apart Micros) func(int, Micros) bool {
		return func(r int, age Micros) bool {
			return age > second && age%apart == 0 && age/apart-second/apart <= 10 && Micros(r%10) == age/apart%10
		}
	}
	for name, restart := range map[string]func(router int, age Micros) bool{
		"no restart": nil, "all at 0.3 s": at(300_000), "all at 2.1 s": at(2_100_000), "all at 2.5 s": at(2_500_000),
		"all each 1.3 s":     func(_ int, age Micros) bool { return age > 0 && age%1_300_000 == 0 },
		"a tenth each 0.5 s": tenths(500_000), "a tenth each 0.1 s": tenths(100_000)} {
		for _, routers := range []int{2, 3, 4, 5, 6, 30, 300} {
			for _, calls := range []float64{6, 25, 31, 50, 100, 200} {
				for _, window := range []Micros{second, 2 * second} {
					d := day{routers: routers, calls: calls, window: window, restart: restart}
					if most, at, n := d.worstWindow(); most > 1 {
						t.Errorf("%s, %d routers, %v calls in %d s: %d sent in the window that ends at an age of %.2f s, %.2f times what it bears",
							name, routers, calls, window/second, n, float64(at)/1e6, most)
					}
				}
			}
		}
	}
}

// Routers alternate in the same order although their clocks differ, as where wall clocks were stepped between
// their starts.
func TestTurnsHoldWhateverTheClocks(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	var drawn [300]Micros
	for i := range drawn {
		drawn[i] = Micros(random.Int64N(7200*second)) - 3600*second
	}
	for name, offset := range map[string]func(router int) Micros{
		"half an hour ahead": func(r int) Micros { return Micros(r%2) * (3600*second + 370_000) },
		"any":                func(r int) Micros { return drawn[r] }, "a window more each": func(r int) Micros { return Micros(-r) * second }} {
		for _, routers := range []int{6, 30, 300} {
			for _, calls := range []float64{6, 25, 50, 200} {
				d := day{routers: routers, calls: calls, window: second, offset: offset}
				if most, at, n := d.worstWindow(); most > 1 {
					t.Errorf("%s, %d routers, %v calls: %d sent in the window that ends at an age of %.2f s, %.2f times what it bears", name, routers,
						calls, n, float64(at)/1e6, most)
				}
			}
		}
	}
}

// Where nothing has answered for long, as after an outage of all servers, those that return in slow start still get a request now
// and then, and no more: what answers there were follows from it.
func TestSlowStartIsNotStarvedWithoutAnswers(t *testing.T) {
	for _, routers := range []int{1, 2, 3, 6, 30, 300} {
		d := day{routers: routers, calls: 0, window: second}
		most, at, n := d.worstWindow()
		if most > 1 {
			t.Errorf("%d routers: %d sent in the window that ends at an age of %.2f s, where 3 are borne", routers, n, float64(at)/1e6)
		}
		if n == 0 {
			t.Errorf("%d routers: nothing was sent", routers)
		}
	}
}
