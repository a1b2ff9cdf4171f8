package chaostest

import (
	"cmp"
	_ "embed"
	"math/rand/v2"
	"slices"
	"time"
)

// call is one effect that a client wants.
type call struct {
	at               time.Duration
	router           int
	workload         *workload
	function         string
	timeout          time.Duration
	number           int
	impatient        bool // leaves early and asks again at once
	abandonAfter     time.Duration
	omitRetryHeaders bool // its further tries look like first ones
	noisyTenant      bool // of the one tenant that storms
	suppressed       bool // not made, so that its tenant keeps to its share
	limitedTenant    bool // of that tenant, while it keeps to its share
}

// tenant is whose call it is.
func (c *call) tenant() string {
	if c.noisyTenant || c.limitedTenant {
		return "loud"
	}
	return "calm"
}

// schedule draws the day's calls: the same for the same seed.
func (d *Scenario) schedule() []call {
	chance := rand.New(rand.NewPCG(d.Seed, 1))
	calls := make([]call, d.Requests)
	at := 0.0
	for i := range calls {
		at += chance.ExpFloat64()
		calls[i] = call{at: time.Duration(at * float64(time.Second)), number: i, router: chance.IntN(d.Routers)}
	}
	scale := float64(d.Length) / (at * float64(time.Second))
	for i := range calls {
		calls[i].at = time.Duration(float64(calls[i].at) * scale)
	}
	calls = d.addSurges(calls, chance)
	zipf := rand.NewZipf(chance, 1.2, 4, uint64(d.Functions-1))
	for i := range calls {
		c := &calls[i]
		u := chance.Float64()
		for k := range workloadMix {
			if c.workload = &workloadMix[k]; u < workloadMix[k].share {
				break
			}
			u -= workloadMix[k].share
		}
		f := zipf.Uint64()
		c.function = c.workload.name + "-" + itoa(int(f))
		c.timeout = time.Duration((0.5 + 0.5*chance.Float64()) * float64(c.workload.maxDeadline))
		hit, leaves := chance.Float64(), chance.Float64()
		if leaves < 0.005 { // some clients go at any time
			c.abandonAfter = time.Duration(chance.Float64() * 0.2 * float64(time.Second))
		}
		for _, t := range d.Faults {
			if c.at < t.At || c.at >= t.At+t.Duration || hit >= t.Share {
				continue
			}
			switch t.Kind {
			case "hot_key":
				c.workload, c.function = &workloadMix[0], "forecast-hot-"+t.Name
			case "scan":
				c.workload, c.function = &workloadMix[0], "forecast-once-"+itoa(c.number)
			case "give_up":
				c.timeout = c.workload.latencyObjective
			case "one_tenant":
				c.noisyTenant = true
				if d.TenantWithinQuota {
					c.noisyTenant, c.suppressed = false, hit >= noisyTenantQuota/(float64(d.Requests)/d.Length.Seconds())
					c.limitedTenant = true
				}
			case "retry_abuse":
				c.timeout, c.impatient = c.workload.latencyObjective/2, true
			}
		}
	}
	return slices.DeleteFunc(calls, func(c call) bool { return c.suppressed })
}

// risen adds the calls of times in which demand rises: first tries, as many more as the trouble's multiple says.
func (d *Scenario) addSurges(calls []call, chance *rand.Rand) []call {
	for _, t := range d.Faults {
		if t.Kind != "rise" {
			continue
		}
		more := (t.Factor - 1) * float64(d.Requests) * t.Duration.Seconds() / d.Length.Seconds()
		for range int(more) {
			calls = append(calls, call{at: t.At + time.Duration(chance.Float64()*float64(t.Duration)), number: len(calls), router: chance.IntN(d.Routers)})
		}
	}
	slices.SortStableFunc(calls, func(a, b call) int { return cmp.Compare(a.at, b.at) })
	return calls
}
