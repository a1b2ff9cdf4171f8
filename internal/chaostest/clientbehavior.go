package chaostest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"hollymast/client"
	"hollymast/internal/invariant"
)

// Manners are how a day's clients behave: as those of days always did; as the client library does; asking again at once and unmarked
// until their patience ends; or half of them so and half as the library.
var ClientBehaviors = []string{"usual", "good", "bad", "mixed"}

// openApps gives a day's well-behaved clients, which are the client library's. Many have few connections each.
func (p *harness) openLibraryClients() error {
	n := p.scenario.LibraryClients
	if p.scenario.ClientBehavior != "good" && p.scenario.ClientBehavior != "mixed" {
		return nil
	}
	const connections = 6400 // of all of them to one router: what a router's bound of clients holds with those that behave badly
	for i := range n {
		x, err := client.New(client.Options{Routers: p.addresses, Connections: min(64, max(1, connections/n)), Seed: p.scenario.Seed*100_000 + uint64(i) + 1,
			Late: 300 * time.Millisecond}) // so that a late answer is seen
		if err != nil {
			return err
		}
		p.libraryClients = append(p.libraryClients, x)
	}
	return nil
}

// mannered has one client get its effect as its manners are; ok is false where it has the day's usual ones.
func (p *harness) performAs(ctx context.Context, c call) (well, ok bool) {
	switch m := p.scenario.ClientBehavior; {
	case c.noisyTenant:
		return p.performAggressively(ctx, c), true
	case m == "good" || m == "mixed" && c.number%2 == 0:
		return p.performWithLibrary(ctx, c), true
	case m == "bad" || m == "mixed":
		return p.performAggressively(ctx, c), true
	}
	return false, false
}

// polite gets an effect through the client library. It notes each try as it crosses the socket.
func (p *harness) performWithLibrary(ctx context.Context, c call) bool {
	begun := time.Now()
	w := client.Workload{Effect: map[string]client.Effect{"restartable": client.Restartable, "fingerprinted": client.Fingerprinted, "run-once": client.RunOnce}[c.workload.effect],
		Narrow: c.workload.scope != "" && c.workload.scope != "fleet", Window: c.workload.window}
	mark := "effect-"
	if c.workload.effect == "run-once" {
		mark = nonIdempotentKeyPrefix
	}
	var mu sync.Mutex
	tries := map[int]invariant.Record{} // that were asked and have no end yet
	var ends sync.WaitGroup
	record := func(t client.Try) invariant.Record {
		return invariant.Record{Request: fmt.Sprintf("%d.%d", c.number, t.Number), Effect: itoa(c.number), Workload: c.workload.name, Router: slices.Index(p.addresses, t.Router)}
	}
	_, err := p.libraryClients[c.number%len(p.libraryClients)].Infer(ctx, client.Call{Model: c.function, Mark: mark + itoa(c.number), Tenant: c.tenant(), Workload: w, Patience: c.timeout,
		BodyOf: func(t client.Try) []byte {
			rec := record(t)
			rec.Kind, rec.Deadline = invariant.RequestSent, p.log.Now()+t.Left.Microseconds()
			mu.Lock()
			tries[t.Number] = rec
			mu.Unlock()
			ends.Add(1)
			p.log.Add(rec)
			return fmt.Appendf(nil, `{"id":%q,"parameters":{"timeout":%d,"effect":%q},"inputs":[{"name":"x","shape":[2],"datatype":"FP32","data":[1,2]}]}`,
				rec.Request, max(1, t.Left.Microseconds()), rec.Effect)
		},
		Tried: func(t client.Try, ending string) {
			mu.Lock()
			rec, asked := tries[t.Number]
			mu.Unlock()
			if !asked {
				return
			}
			switch rec.Kind, rec.Detail = invariant.ResponseReceived, ending; ending {
			case "unsent":
				rec.Kind, rec.Detail = invariant.RequestNotSent, ""
			case "lost":
				rec.Kind, rec.Detail = invariant.RequestTimedOut, ""
			case "refused":
				rec.Detail = invariant.NotAdmitted
			}
			p.log.Add(rec)
			ends.Done()
		}})
	well := err == nil && time.Since(begun) <= c.workload.latencyObjective
	ends.Wait()
	return well
}

// rude asks again at once, at any router, as a first try, until its patience ends. What may have run it leaves alone unless it may run
// twice, or the judge would blame the routers for it.
func (p *harness) performAggressively(ctx context.Context, c call) bool {
	const most = 200                    // tries: bounded, and more than patience allows
	const least = 50 * time.Millisecond // left: with six thousand tries a second a full machine keeps an answer given at once for up to 25 ms
	begun := time.Now()
	c.omitRetryHeaders = true
	for n := 1; n <= most; n++ {
		left := c.timeout - time.Since(begun)
		if left < least || ctx.Err() != nil {
			return false
		}
		o := p.send(ctx, c, (c.router+n)%len(p.addresses), n, left)
		if o.answer == invariant.Succeeded {
			return time.Since(begun) <= c.workload.latencyObjective
		}
		if o.mayHaveRun && c.workload.effect != "restartable" {
			return false
		}
		if sleep(ctx, 50*time.Millisecond) != nil { // a program's own loop, and what this machine bears
			return false
		}
	}
	return false
}
