package chaostest

import (
	"context"
	"fmt"
	"image/color"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

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

// Second is what happened to the effects that clients asked for within one second of a day.
type Second struct {
	Effects             int     `json:"Effects"`
	InTime              int     `json:"Well"`
	Keyed               int     `json:"Marked"` // fingerprinted ones
	KeyedInTime         int     `json:"MarkedWell"`
	Requests            int     `json:"Tries"`
	Rejected            int     `json:"PushedBack"`
	Loads               int     `json:"Loads"`
	OtherTenants        int     `json:"Calm"` // of tenants that don't storm
	OtherTenantsInTime  int     `json:"CalmWell"`
	Outstanding         int     `json:"Open"` // tries without an answer at its end
	SlowStartBudgetUsed float64 `json:"Cold"` // the largest share of its budget that a cold server had got
}

// seconds gives a day second by second.
func (p *harness) seconds(recs []invariant.Record, cold []invariant.SlowStartWindow) []Second {
	out := make([]Second, int(p.scenario.Length.Seconds())+1)
	at := func(t time.Duration) *Second { return &out[min(max(0, int(t.Seconds())), len(out)-1)] }
	for _, w := range p.outcomes {
		s := at(w.at)
		s.Effects++
		if w.inTime {
			s.InTime++
		}
		if w.effect == "fingerprinted" {
			if s.Keyed++; w.inTime {
				s.KeyedInTime++
			}
		}
		if !w.noisyTenant {
			if s.OtherTenants++; w.inTime {
				s.OtherTenantsInTime++
			}
		}
	}
	first, open := p.logStart, map[string]bool{}
	for _, c := range cold {
		s := at(time.Duration(c.At-first) * time.Microsecond)
		s.SlowStartBudgetUsed = max(s.SlowStartBudgetUsed, c.BudgetUsed)
	}
	for _, r := range recs {
		s := at(time.Duration(r.At-first) * time.Microsecond)
		switch {
		case r.Kind == invariant.RequestSent:
			s.Requests++
		case r.Kind == invariant.ResponseReceived && r.Detail == invariant.Rejected:
			s.Rejected++
		case r.Kind == invariant.LoadStarted:
			s.Loads++
		}
		switch r.Kind {
		case invariant.RequestSent:
			open[r.Request] = true
		case invariant.ResponseReceived, invariant.RequestTimedOut, invariant.RequestAbandoned, invariant.RequestNotSent:
			delete(open, r.Request)
		}
		s.Outstanding = len(open)
	}
	return out
}

// Recovery tells after how long since a moment of a day three seconds in a row have fingerprinted work in time within 5 % of what it
// was before another moment; below zero: never.
func Recovery(seconds []Second, before, since time.Duration) (usual float64, after time.Duration) {
	const in, within = 3, 0.95
	n, well := 0, 0
	for i, s := range seconds {
		if i > 0 && i < int(before.Seconds()) {
			n, well = n+s.Keyed, well+s.KeyedInTime
		}
	}
	usual = float64(well) / float64(max(1, n))
	row := 0
	for i := int(since.Seconds()); i < len(seconds); i++ {
		s := seconds[i]
		if s.Keyed == 0 {
			continue
		}
		if row++; float64(s.KeyedInTime) < within*usual*float64(s.Keyed) {
			row = 0
		}
		if row == in {
			return usual, time.Duration(i-in+1)*time.Second - since
		}
	}
	return usual, -1
}

// storms counts the storms that routers told of in their logs.
func (p *harness) countOverloads() (n int, err error) {
	for _, r := range p.routers {
		text, err := os.ReadFile(r.logName(p.dir))
		if err != nil {
			return 0, err
		}
		n += strings.Count(string(text), "storm: a storm:")
	}
	return n, nil
}

// Calm gives the share in time of the effects of all tenants but the one that storms, while it does and at all other times.
func (r *Result) OtherTenantsInTime(t Fault) (meanwhile, otherwise float64) {
	var n, well [2]int
	for _, w := range r.outcomes {
		if w.noisyTenant {
			continue
		}
		k := 0
		if w.at >= t.At && w.at < t.At+t.Duration {
			k = 1
		}
		if n[k]++; w.inTime {
			well[k]++
		}
	}
	return float64(well[1]) / float64(max(1, n[1])), float64(well[0]) / float64(max(1, n[0]))
}

// Plot draws a day: tries, effects, refusals and loads a second, and below 1 scaled to the top the share in time.
func Plot(seconds []Second, title, file string) error {
	pl := plot.New()
	pl.Title.Text, pl.X.Label.Text, pl.Y.Label.Text = title, "s", "a second"
	top := 0.0
	for _, s := range seconds {
		top = max(top, float64(s.Requests))
	}
	pl.Legend.Top, pl.Legend.Left = true, true
	pl.Y.Max = 1.4 * top // room for the legend
	for len(seconds) > 1 && seconds[len(seconds)-1].Effects == 0 {
		seconds = seconds[:len(seconds)-1]
	}
	for _, l := range []struct {
		name  string
		of    func(s Second) float64
		color color.Color
	}{
		{"tries", func(s Second) float64 { return float64(s.Requests) }, color.RGBA{120, 120, 120, 255}},
		{"effects wanted", func(s Second) float64 { return float64(s.Effects) }, color.RGBA{0, 0, 0, 255}},
		{"pushed back", func(s Second) float64 { return float64(s.Rejected) }, color.RGBA{200, 60, 40, 255}},
		{"loads", func(s Second) float64 { return float64(s.Loads) }, color.RGBA{40, 120, 200, 255}},
		{"without an answer yet", func(s Second) float64 { return float64(s.Outstanding) }, color.RGBA{150, 80, 170, 255}},
		{fmt.Sprintf("new hosts' worst window (budget = %.0f)", top), func(s Second) float64 { return top * s.SlowStartBudgetUsed }, color.RGBA{230, 150, 30, 255}},
		{fmt.Sprintf("in time (1 = %.0f)", top), func(s Second) float64 { return top * float64(s.InTime) / float64(max(1, s.Effects)) }, color.RGBA{30, 150, 60, 255}},
	} {
		var xy plotter.XYs
		for i, s := range seconds {
			xy = append(xy, plotter.XY{X: float64(i), Y: l.of(s)})
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Width = l.color, vg.Points(1.5)
		pl.Add(line)
		pl.Legend.Add(l.name, line)
	}
	return pl.Save(9*vg.Inch, 4.5*vg.Inch, file)
}
