package chaostest

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// call is one operation of a client. It may take several requests.
type call struct {
	at                 time.Duration // since the start of the run
	router             int           // that the first request goes to
	workload           *workload
	function           string
	timeout            time.Duration
	number             int
	impatient          bool          // gives up at its deadline, without reading a late answer, and retries at once
	abandonAfter       time.Duration // when the client closes its connection without an answer; 0: never
	omitRetryHeaders   bool          // retries look like first requests
	noisyTenant        bool          // of the noisy tenant, which retries blindly
	noisyTenantInQuota bool          // of the noisy tenant, which stays within its quota
	suppressed         bool          // not made, to keep the noisy tenant within its quota
}

func (c *call) tenant() string {
	if c.noisyTenant || c.noisyTenantInQuota {
		return noisyTenant
	}
	return regularTenant
}

// Shape of the load. The popularity of functions follows a Zipf distribution, steep enough that a few functions get most of the
// requests.
const (
	zipfExponent = 1.2
	zipfOffset   = 4

	minTimeoutShare = 0.5   // of the workload's maxDeadline
	abandonShare    = 0.005 // of clients
	maxAbandonAfter = 0.2   // seconds
)

// schedule draws the calls of the run, in order of time. The same seed must give the same calls, so the order of the draws from the
// generator is fixed.
func (s *Scenario) schedule() []call {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	calls := s.addSurges(s.arrivals(random), random)
	zipf := rand.NewZipf(random, zipfExponent, zipfOffset, uint64(s.Functions-1))
	for i := range calls {
		c := &calls[i]
		c.draw(random, zipf)
		draw, abandon := random.Float64(), random.Float64()
		if abandon < abandonShare {
			c.abandonAfter = time.Duration(random.Float64() * maxAbandonAfter * float64(time.Second))
		}
		for _, f := range s.Faults {
			if f.active(c.at) && draw < f.Share {
				s.applyFault(c, f, draw)
			}
		}
	}
	return slices.DeleteFunc(calls, func(c call) bool { return c.suppressed })
}

// arrivals draws a Poisson process and scales it to the length of the run.
func (s *Scenario) arrivals(random *rand.Rand) []call {
	calls := make([]call, s.Calls)
	at := 0.0 // in seconds
	for i := range calls {
		at += random.ExpFloat64()
		calls[i] = call{at: time.Duration(at * float64(time.Second)), number: i, router: random.IntN(s.Routers)}
	}
	scale := float64(s.Length) / (at * float64(time.Second))
	for i := range calls {
		calls[i].at = time.Duration(float64(calls[i].at) * scale)
	}
	return calls
}

// addSurges adds the calls of faults that increase demand.
func (s *Scenario) addSurges(calls []call, random *rand.Rand) []call {
	for _, f := range s.Faults {
		if f.Kind != FaultDemandSurge {
			continue
		}
		more := (f.Factor - 1) * float64(s.Calls) * f.Duration.Seconds() / s.Length.Seconds()
		for range int(more) {
			calls = append(calls, call{at: f.At + time.Duration(random.Float64()*float64(f.Duration)), number: len(calls), router: random.IntN(s.Routers)})
		}
	}
	slices.SortStableFunc(calls, func(a, b call) int { return cmp.Compare(a.at, b.at) })
	return calls
}

// draw draws a call's workload, function and timeout.
func (c *call) draw(random *rand.Rand, zipf *rand.Zipf) {
	u := random.Float64()
	for i := range workloadMix {
		if c.workload = &workloadMix[i]; u < workloadMix[i].share {
			break
		}
		u -= workloadMix[i].share
	}
	c.function = c.workload.name + "-" + strconv.FormatUint(zipf.Uint64(), 10)
	c.timeout = time.Duration((minTimeoutShare + (1-minTimeoutShare)*random.Float64()) * float64(c.workload.maxDeadline))
}

// applyFault changes a call that a fault affects. The fault was selected by draw, which is below its share.
func (s *Scenario) applyFault(c *call, f Fault, draw float64) {
	switch f.Kind {
	case FaultHotFunction:
		c.workload, c.function = &workloadMix[0], workloadMix[0].name+"-hot-"+f.Name
	case FaultUniqueFunctions:
		c.workload, c.function = &workloadMix[0], workloadMix[0].name+"-once-"+strconv.Itoa(c.number)
	case FaultShortTimeouts:
		c.timeout = c.workload.latencyObjective
	case FaultRetryAbuse:
		c.timeout, c.impatient = c.workload.latencyObjective/2, true
	case FaultNoisyTenant:
		if !s.TenantWithinQuota {
			c.noisyTenant = true
			return
		}
		c.noisyTenant, c.noisyTenantInQuota = false, true
		c.suppressed = draw >= noisyTenantQuota/(float64(s.Calls)/s.Length.Seconds())
	}
}
