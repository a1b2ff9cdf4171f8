// Package baseline implements textbook policies to compare the balancer with. No service uses it. Each policy keeps the
// invariants in the simplest way: it sends nothing to a server that is not ready or is in slow start, and retries a
// request that may have run only if it is idempotent.
package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"hollymast/control"
	"hollymast/internal/core"
)

// Policy is how a server is chosen for a request.
type Policy uint8

// The policies.
const (
	Random        Policy = iota // any server
	LeastRequests               // the one with the fewest requests in flight
	TwoChoices                  // the better of two drawn at random (Mitzenmacher, 2001)
	BoundedHash                 // the function's server by rendezvous hashing, or the next if that one is over the bound (Mirrokni et al., 2018)
	LoadedFirst                 // the one with the fewest requests in flight of those assumed to have loaded the function; a random one if there are none
)

// PolicyNames are the policies' names, indexed by Policy.
var PolicyNames = []string{"random", "least", "two-choices", "bounded-hash", "first-miss"}

// recheckInterval is the time after which a request for which no server was found is routed again.
const recheckInterval = control.Micros(50_000)

// minTicksLeft is how many clock ticks must be left before a request's deadline. With fewer it is rejected, since it
// could not be answered in time.
const minTicksLeft = 4

// maintenanceInterval is arbitrary, since these policies have no maintenance.
const maintenanceInterval = control.Micros(1_000_000)

// NewFactory returns a function that creates a router's policy.
func NewFactory(p Policy) func(now control.Micros, seed uint64, d control.Deployment) core.Policy {
	return func(_ control.Micros, seed uint64, d control.Deployment) core.Policy {
		return &balancer{policy: p, deployment: d, random: rand.New(rand.NewPCG(seed, uint64(p))), inFlight: map[control.ServerID]int{},
			loaded: map[control.FunctionID]map[control.ServerID]bool{}}
	}
}

// balancer implements core.Policy with one of the policies.
type balancer struct {
	policy        Policy
	deployment    control.Deployment
	random        *rand.Rand
	servers       []control.Endpoint // ready servers, by ascending ID
	inFlight      map[control.ServerID]int
	totalInFlight int
	loaded        map[control.FunctionID]map[control.ServerID]bool // servers that LoadedFirst assumes to have loaded a function
}

// UpdateEndpoints implements core.Policy.
func (b *balancer) UpdateEndpoints(_ control.Micros, kind control.UpdateKind, endpoints []control.Endpoint) {
	if kind == control.FailedUpdate {
		return
	}
	if kind != control.IncrementalUpdate {
		b.servers = nil
	}
	for _, e := range endpoints {
		b.servers = slices.DeleteFunc(b.servers, func(s control.Endpoint) bool { return s.Server == e.Server })
		if e.State == control.Ready {
			b.servers = append(b.servers, e)
		}
	}
	slices.SortFunc(b.servers, func(a, b control.Endpoint) int { return cmp.Compare(a.Server, b.Server) })
}

// Rank implements core.Policy: requests are routed in order of arrival.
func (b *balancer) Rank(_ control.Micros, r *control.Request) control.Micros { return r.ArrivedAt }

// candidates returns the servers that may get a request. Servers in slow start are excluded: policies that do not count
// what they send would overload them.
func (b *balancer) candidates(now control.Micros) []control.Endpoint {
	return slices.DeleteFunc(slices.Clone(b.servers), func(s control.Endpoint) bool {
		return s.StartedAt > 0 && now < s.StartedAt+b.deployment.SlowStartDuration
	})
}

// Route implements core.Policy.
func (b *balancer) Route(now control.Micros, r *control.Request) control.Decision {
	reject := control.Decision{Action: control.Reject, RetryAfter: b.deployment.MaxRetryAfter}
	class := b.deployment.Classes[r.Class]
	for _, a := range r.Attempts {
		switch {
		case !a.Done:
			return control.Decision{Action: control.NoAction}
		case !a.MayHaveRun || class.Idempotency == control.Idempotent:
		case class.Idempotency == control.IdempotentByKey && class.DedupScope == control.WholeFleet:
			return reject // the client may retry it anywhere
		default:
			return control.Decision{Action: control.Fail}
		}
	}
	if now >= b.latestStart(r) || len(r.Attempts) >= b.deployment.MaxAttempts {
		return reject
	}
	candidates := b.candidates(now)
	if len(candidates) == 0 {
		return b.hold(now, r)
	}
	s := b.pick(candidates, r)
	r.Attempts = append(r.Attempts, control.Attempt{Server: s.Server, Zone: s.Zone, Cell: s.Cell, SentAt: now, MayHaveRun: true})
	b.inFlight[s.Server]++
	b.totalInFlight++
	return control.Decision{Action: control.Forward, Server: s.Server, Timeout: r.Deadline - now}
}

func (b *balancer) latestStart(r *control.Request) control.Micros {
	return r.Deadline - minTicksLeft*b.deployment.Tick
}

func (b *balancer) hold(now control.Micros, r *control.Request) control.Decision {
	return control.Decision{Action: control.Hold, Rank: r.ArrivedAt, RecheckAt: min(b.latestStart(r), now+recheckInterval)}
}

// HandleOutcome implements core.Policy.
func (b *balancer) HandleOutcome(now control.Micros, r *control.Request, o control.Outcome) control.Decision {
	attempt := &r.Attempts[o.Attempt]
	attempt.Done, attempt.MayHaveRun = true, !o.Result.ProvesNotRun()
	b.inFlight[o.Server]--
	b.totalInFlight--
	switch o.Result {
	case control.Succeeded:
	case control.ConnectionReset, control.ConnectFailed:
		for _, servers := range b.loaded {
			delete(servers, o.Server)
		}
	default:
		delete(b.loaded[r.Function], o.Server)
	}
	if o.RequestDone {
		return control.Decision{Action: control.NoAction}
	}
	if o.Result == control.Overloaded { // immediate attempts would only go from one overloaded server to the next
		return b.hold(now, r)
	}
	return b.Route(now, r)
}

// Cancel implements core.Policy. There is no state to release.
func (b *balancer) Cancel(control.Micros, *control.Request) {}

// HandleLoadResult implements core.Policy. These policies send no load commands.
func (b *balancer) HandleLoadResult(control.Micros, control.ServerID, control.FunctionID, control.Result, control.Micros, int) {
}

// Maintain implements core.Policy.
func (b *balancer) Maintain(now control.Micros) control.Maintenance {
	return control.Maintenance{Next: now + maintenanceInterval}
}
