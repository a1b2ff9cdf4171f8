// Package overload detects overloads that clients make worse by retrying, tells their kind, and controls admission while they last: which
// requests are admitted, and when the rejected ones should return. It is free of I/O and clocks; randomness comes from a seeded
// generator. What becomes of an admitted request is decided by package control.
//
// Growing demand is no overload of this sort: first attempts alone never make one. It takes retries of requests that failed, all at the
// same time.
package overload

import (
	"fmt"
	"math/rand/v2"

	"hollymast/control"
)

// Controller is one router's admission control. It is not safe for concurrent use.
type Controller struct {
	quotas        []float64 // of tenants at this router, requests per second
	maxRetryAfter control.Micros
	random        *rand.Rand
	window        window
	baseline      baseline

	kind       Kind
	since      control.Micros // when the overload began
	quietSince control.Micros // since when no condition of an overload holds; 0: one holds, or there is no overload

	retryAt  map[uint64]control.Micros // when rejected requests may return, by the hash of their idempotency key
	tenants  map[control.TenantID]*tenantState
	shedder  shedder
	logLines []string
}

// NewController returns a controller that has no baseline yet. Quotas are the tenants' requests per second at this router alone,
// priorities those of all classes, and maxRetryAfter is the longest pause that clients heed.
func NewController(now control.Micros, quotas, priorities []float64, maxRetryAfter control.Micros, seed uint64) *Controller {
	const stream = 0x570 // the generator's second seed: overload's numbers differ from those of others with the same seed
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

// advance ends the intervals that are over, and looks for an overload at the end of each.
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

// updateShedder sets how much the shedder holds back in the next interval. It holds back nothing in an overload that is one tenant's, for
// which the others must not pay, nor in one that is made of connections.
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

// RecordAnswer counts a request that was answered with success.
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

// RecordStall handles a stall of this process, which has just ended. Events that came meanwhile are no rate and are not counted.
func (c *Controller) RecordStall(now, duration control.Micros) {
	if duration < minStall {
		return
	}
	c.window.restartInterval(now)
	if c.kind == None {
		c.enter(now, AfterStall)
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
