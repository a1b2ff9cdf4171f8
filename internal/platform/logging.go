package platform

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"hollymast/control"
	"hollymast/internal/binframe"
	"hollymast/internal/msgrpc"
)

// Log writes a line in the log.
func (p *Router) Log(text string) { p.log.Info().Msg(text) }

// countAnomaly notes what is out of order; one line tells of all in some seconds, so that a flood costs no log.
func (p *Router) countAnomaly(what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.anomalies[what]++
}

func (p *Router) countBadMessage(f *msgrpc.Fault) { p.countAnomaly("bad message: " + f.Text) }

// logState writes that line.
func (p *Router) logState() {
	p.mu.Lock()
	var parts []string
	for what, n := range p.anomalies {
		parts = append(parts, fmt.Sprintf("%s: %d", what, n))
	}
	clear(p.anomalies)
	clients := len(p.clients)
	p.mu.Unlock()
	slices.Sort(parts)
	p.log.Info().Int("clients", clients).Int("server_connections", p.serverConnCount).Int("jobs", len(p.requests)).Int("held", p.core.Held()).
		Uint64("list", p.discovery.Revision()).Int64("oldest_list_us", p.oldestEndpoints.take()).Int64("after_drain_us", p.afterDrain.take()).
		Str("out_of_order", strings.Join(parts, "; ")).Msg("state")
}

// peak is the largest of some numbers that several goroutines note; none: 0.
type peak struct{ atomic.Int64 }

func (m *peak) record(n int64) {
	for {
		old := m.Load()
		if n <= old || m.CompareAndSwap(old, n) {
			return
		}
	}
}

// take gives it and begins anew.
func (m *peak) take() int64 { return m.Swap(0) }

// traceRejections tells why jobs are turned away, where the log is told to.
func (p *Router) traceRejections() error {
	if p.log.Trace() == nil {
		return nil
	}
	return p.core.SetTrace(&control.Trace{OnDecision: func(w control.Explanation) {
		if w.Decision.Action != control.Reject && w.Decision.Action != control.Fail {
			return
		}
		var warm, coming, waiting, shunned, suspect int
		for _, b := range w.Servers {
			waiting += b.PendingLoads
			warm, coming = warm+countOf(b.Loaded), coming+countOf(b.LoadingNow)
			shunned, suspect = shunned+countOf(b.Overloaded), suspect+countOf(b.Ejected)
		}
		p.log.Trace().Str("why", w.Reason).Str("function", fmt.Sprintf("%016x", uint64(w.Function))).Int64("exec", int64(w.ExecTime)).
			Int64("slack", int64(w.Slack)).Int64("load", int64(w.LoadTime)).Int("held", w.Held).Float64("B", w.B).Int("warm", warm).
			Int("coming", coming).Int("waiting", waiting).Int("shunned", shunned).Int("suspect", suspect).
			Int("servers", len(w.Servers)).Msg("turned away")
	}})
}

func countOf(is bool) int {
	if is {
		return 1
	}
	return 0
}

// logAttempt tells of one execution or order, where the log is told to.
func (p *Router) logAttempt(now control.Micros, s *serverCall, result control.Result, a *binframe.Answer) {
	e := p.log.Debug()
	if e == nil {
		return
	}
	function := uint64(s.load.Function)
	if s.request != nil {
		function = uint64(s.request.ask.FunctionID())
	}
	if a != nil {
		e = e.Uint8("found", uint8(a.CacheStatus))
	}
	e.Str("id", fmt.Sprintf("%016x", uint64(s.id))).Bool("order", s.request == nil).Str("function", fmt.Sprintf("%016x", function)).
		Str("server", s.address()).Int64("chosen", int64(s.chosenAt)).Bool("whole", s.writtenWhole.Load()).
		Int64("answered", int64(now)).Uint8("result", uint8(result)).Msg("execution")
}
