// Package baseline holds textbook policies, for a laboratory to hold the module against. No program that serves uses it. Each keeps the
// rules in the plainest way: nothing is sent to a server that is not ready or still cold while others stand, and what may have run is
// sent again only if it is restartable.
package baseline

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/core"
)

// Policy is how a server is chosen for a job.
type Policy uint8

// The policies.
const (
	Random        Policy = iota // any server
	LeastRequests               // the one with the fewest of ours outstanding
	TwoChoices                  // the lesser of two drawn by chance (Mitzenmacher, 2001)
	BoundedHash                 // the function's server by rendezvous hash, the next where that has over 5/4 of the mean (Mirrokni et al., 2018)
	LoadedFirst                 // the least outstanding of those believed to hold the function; a random one where none does
)

// Names are the policies' names, by their numbers.
var Names = []string{"random", "least", "two-choices", "bounded-hash", "first-miss"}

// New gives what makes a router's decisions by a policy.
func NewFactory(p Policy) func(now control.Micros, seed uint64, d control.Deployment) core.Policy {
	return func(_ control.Micros, seed uint64, d control.Deployment) core.Policy {
		return &balancer{policy: p, deployment: d, random: rand.New(rand.NewPCG(seed, uint64(p))), inFlight: map[control.ServerID]int{},
			loaded: map[control.FunctionID]map[control.ServerID]bool{}}
	}
}

type balancer struct {
	policy        Policy
	deployment    control.Deployment
	random        *rand.Rand
	servers       []control.Endpoint // ready ones, by id
	inFlight      map[control.ServerID]int
	totalInFlight int // of out
	loaded        map[control.FunctionID]map[control.ServerID]bool
}

// checkEvery is when a job that no server could be had for is asked about again.
const recheckInterval = control.Micros(50_000)

// UpdateEndpoints takes in the list.
func (d *balancer) UpdateEndpoints(_ control.Micros, kind control.UpdateKind, list []control.Endpoint) {
	if kind == control.FailedUpdate {
		return
	}
	if kind != control.IncrementalUpdate {
		d.servers = nil
	}
	for _, l := range list {
		d.servers = slices.DeleteFunc(d.servers, func(s control.Endpoint) bool { return s.Server == l.Server })
		if l.State == control.Ready {
			d.servers = append(d.servers, l)
		}
	}
	slices.SortFunc(d.servers, func(a, b control.Endpoint) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
}

// Rank is the order of arrival.
func (d *balancer) Rank(_ control.Micros, j *control.Request) control.Micros { return j.ArrivedAt }

// candidates are the servers that may have a job: warm ones, else cold ones.
func (d *balancer) candidates(now control.Micros) []control.Endpoint {
	warm := slices.DeleteFunc(slices.Clone(d.servers), func(s control.Endpoint) bool {
		return s.StartedAt > 0 && now < s.StartedAt+d.deployment.SlowStartDuration
	})
	if len(warm) > 0 {
		return warm
	}
	return nil // cold ones would be pushed over by policies that count nothing
}

// Route answers where to send a job.
func (d *balancer) Route(now control.Micros, j *control.Request) control.Decision {
	w := d.deployment.Classes[j.Class]
	for _, e := range j.Attempts {
		if !e.Done {
			return control.Decision{Action: control.NoAction}
		}
		if e.MayHaveRun && w.Effect != control.Idempotent {
			if w.Effect == control.IdempotentByKey && w.Scope == control.WholeFleet {
				return control.Decision{Action: control.Reject, RetryAfter: d.deployment.MaxRetryAfter}
			}
			return control.Decision{Action: control.Fail}
		}
	}
	last := j.Deadline - 4*d.deployment.Tick
	if now >= last || len(j.Attempts) >= d.deployment.MaxAttempts {
		return control.Decision{Action: control.Reject, RetryAfter: d.deployment.MaxRetryAfter}
	}
	cs := d.candidates(now)
	if len(cs) == 0 {
		return control.Decision{Action: control.Hold, Rank: j.ArrivedAt, RecheckAt: min(last, now+recheckInterval)}
	}
	s := d.pick(cs, j)
	j.Attempts = append(j.Attempts, control.Attempt{Server: s.Server, Zone: s.Zone, Cell: s.Cell, SentAt: now, MayHaveRun: true})
	d.inFlight[s.Server]++
	d.totalInFlight++
	return control.Decision{Action: control.Forward, Server: s.Server, Timeout: j.Deadline - now}
}

func (d *balancer) pick(cs []control.Endpoint, j *control.Request) control.Endpoint {
	any := func() control.Endpoint { return cs[d.random.IntN(len(cs))] }
	switch d.policy {
	case LeastRequests:
		return d.least(cs)
	case TwoChoices:
		return d.least([]control.Endpoint{any(), any()})
	case BoundedHash:
		bound := 1 + 5*(d.totalInFlight+1)/(4*len(cs))
		slices.SortFunc(cs, func(a, b control.Endpoint) int {
			if weight(j.Function, a.Server) > weight(j.Function, b.Server) {
				return -1
			}
			return 1
		})
		for _, s := range cs {
			if d.inFlight[s.Server] < bound {
				return s
			}
		}
		return cs[0]
	case LoadedFirst:
		held := slices.DeleteFunc(slices.Clone(cs), func(s control.Endpoint) bool { return !d.loaded[j.Function][s.Server] })
		if len(held) > 0 {
			return d.least(held)
		}
		s := any()
		if d.loaded[j.Function] == nil {
			d.loaded[j.Function] = map[control.ServerID]bool{}
		}
		d.loaded[j.Function][s.Server] = true
		return s
	}
	return any()
}

// least is the one with the fewest of ours outstanding; of several any.
func (d *balancer) least(cs []control.Endpoint) control.Endpoint {
	best, ties := cs[0], 0
	for _, s := range cs {
		switch {
		case d.inFlight[s.Server] < d.inFlight[best.Server]:
			best, ties = s, 1
		case d.inFlight[s.Server] == d.inFlight[best.Server]:
			if ties++; d.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func weight(f control.FunctionID, s control.ServerID) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(uint64(f)>>(8*i)), byte(uint64(s)>>(8*i))
	}
	return xxhash.Sum64(b[:])
}

// HandleOutcome takes in how an execution ended.
func (d *balancer) HandleOutcome(now control.Micros, j *control.Request, o control.Outcome) control.Decision {
	e := &j.Attempts[o.Attempt]
	e.Done, e.MayHaveRun = true, !o.Result.ProvesNotRun()
	d.inFlight[o.Server]--
	d.totalInFlight--
	switch o.Result {
	case control.Succeeded:
	case control.ConnectionReset, control.ConnectFailed:
		for _, held := range d.loaded {
			delete(held, o.Server)
		}
	default:
		delete(d.loaded[j.Function], o.Server)
	}
	if o.RequestDone {
		return control.Decision{Action: control.NoAction}
	}
	if o.Result == control.Overloaded { // at once again would only ask all of them in turn
		return control.Decision{Action: control.Hold, Rank: j.ArrivedAt, RecheckAt: min(j.Deadline-4*d.deployment.Tick, now+recheckInterval)}
	}
	return d.Route(now, j)
}

// Cancel does nothing.
func (d *balancer) Cancel(control.Micros, *control.Request) {}

// HandleLoadResult does nothing: these policies give no orders.
func (d *balancer) HandleLoadResult(control.Micros, control.ServerID, control.FunctionID, control.Result, control.Micros, int) {
}

// Maintain asks for nothing.
func (d *balancer) Maintain(now control.Micros) control.Maintenance {
	return control.Maintenance{Next: now + 1_000_000}
}
