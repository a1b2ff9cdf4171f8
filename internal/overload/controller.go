// Package overload detects overloads that clients make worse by retrying, determines their kind, and controls admission
// while they last: which requests are admitted, and when the rejected ones should return. It does no I/O and reads no
// clock; randomness comes from a seeded generator. Package control decides about admitted requests.
//
// Growing demand is not such an overload: first attempts alone never cause one. It takes many simultaneous retries of
// failed requests.
package overload

import (
	"fmt"
	"math/rand/v2"

	"hollymast/control"
)

// Controller is one router's admission control. It is not safe for concurrent use.
type Controller struct {
	quotas        []float64 // of the tenants at this router, requests per second
	maxRetryAfter control.Micros
	random        *rand.Rand
	window        window
	baseline      baseline

	kind       Kind
	since      control.Micros // when the overload began
	quietSince control.Micros // since when no overload condition holds; 0 if one holds or there is no overload

	retryAt  map[uint64]control.Micros // when rejected requests may be retried, by the hash of their idempotency key
	tenants  map[control.TenantID]*tenantState
	shedder  shedder
	logLines []string
}

// NewController returns a controller without a baseline. quotas are the tenants' requests per second at this router
// alone, priorities those of all classes, and maxRetryAfter is the longest retry delay that clients respect.
func NewController(now control.Micros, quotas, priorities []float64, maxRetryAfter control.Micros, seed uint64) *Controller {
	const stream = 0x570 // the generator's second seed, so that its numbers differ from those of other packages with the same seed
	return &Controller{
		quotas:        quotas,
		maxRetryAfter: maxRetryAfter,
		random:        rand.New(rand.NewPCG(seed, stream)),
		window:        window{currentSince: now},
		retryAt:       map[uint64]control.Micros{},
		tenants:       map[control.TenantID]*tenantState{},
		shedder:       newShedder(priorities),
	}
}

// advance ends the intervals that have passed, and looks for an overload at the end of each.
func (c *Controller) advance(now control.Micros) {
	for n := 0; now >= c.window.currentSince+interval; n++ {
		if n > maxCatchUp {
			c.window.clear(now)
			break
		}
		c.window.rotate()
		c.updateBaseline()
		c.classify(c.window.currentSince)
		c.updateShedder()
	}
}

// updateShedder sets how much the shedder rejects in the next interval: nothing in an overload that one tenant causes,
// which must not affect the others, nor in one that consists of connections.
func (c *Controller) updateShedder() {
	switch {
	case c.kind == None || c.kind == ConnectionStorm || c.kind == TenantStorm:
		c.shedder.reset()
	case c.window.admittedTooMuch():
		c.shedder.raise()
	default:
		c.shedder.lower()
	}
}

// RecordAnswer counts a request that was answered successfully.
func (c *Controller) RecordAnswer(now control.Micros) {
	c.advance(now)
	c.window.current.answered++
}

// RecordConnection counts a connection that a client opened.
func (c *Controller) RecordConnection(now control.Micros) {
	c.advance(now)
	c.window.current.connections++
}

// minStall is the shortest stall that clients notice.
const minStall = control.Micros(500_000)

// RecordStall handles a stall of this process that has just ended. The events of its current interval are not counted,
// since those that arrived during the stall say nothing about the rate.
func (c *Controller) RecordStall(now, duration control.Micros) {
	if duration < minStall {
		return
	}
	c.window.restartInterval(now)
	if c.kind == None {
		c.beginOverload(now, AfterStall)
	}
}

// Kind returns the kind of the current overload.
func (c *Controller) Kind() Kind { return c.kind }

func (c *Controller) logf(format string, args ...any) {
	c.logLines = append(c.logLines, fmt.Sprintf(format, args...))
}

// LogLines returns the log lines since the last call.
func (c *Controller) LogLines() []string {
	lines := c.logLines
	c.logLines = nil
	return lines
}
