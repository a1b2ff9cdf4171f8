package platform

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/acceptqueue"
	"hollymast/internal/binframe"
	"hollymast/internal/msgrpc"
)

// LogServerEvent logs that a server was ejected or readmitted.
func (r *Router) LogServerEvent(event control.ServerEvent) {
	line := r.log.Info().Str("server", fmt.Sprintf(serverIDFormat, event.Server))
	r.addSlowStart(line, r.loop.StepTime, event.Server).Msg(event.LogMessage())
}

// countBadMessage counts a client message that breaks the protocol.
func (r *Router) countBadMessage(f *msgrpc.MessageError) { r.anomalies.addDetail(badMessage, f.Text) }

// logState logs the state line: connections, requests, the age of the confirmed endpoint list, the estimates behind the
// slow-start budget, the memory in use, counted since the start, subscriptions to discovery, and since the previous line, the longest delays within the process, what clients sent, how attempts
// and requests ended, the causes of retries, why connections closed, and the anomalies.
func (r *Router) logState() {
	r.mu.Lock()
	clients := len(r.clients)
	r.mu.Unlock()
	throughput := r.core.Throughput()
	line := r.log.Info().Int("clients", clients)
	addQueueLength(line, r.listener).Int64("accept_busy_us", r.acceptBusy.take()).Int("server_connections", r.serverConnCount).
		Int("requests", len(r.requests)).Int("held", r.core.Held()).Uint64("list_revision", r.discovery.Revision()).
		Int("subscriptions", r.discovery.Subscriptions()).Int64("list_confirmed_ms_ago", r.sinceListConfirmed().Milliseconds()).
		Int64("oldest_list_us", r.oldestEndpoints.take()).Int64("after_drain_us", r.afterDrain.take()).
		Int("ready", throughput.Ready).Int("slow_start", throughput.SlowStart).Float64("answer_rate", throughput.AnswerRate).
		Dict("delays", r.delays()).Dict("memory", memoryUse()).Int("functions", throughput.Functions).
		Str("messages", r.messages.take()).Int64("busiest_client", r.busiestClient.take()).
		Str("attempts", r.attemptEnds.take()).Str("retries", r.retries.take()).Str("ended", r.requestEnds.take()).
		Str("client_closes", r.clientCloses.take()).Str("server_closes", r.serverCloses.take()).
		Str("anomalies", r.anomalies.take()).Msg("state")
}

// sinceListConfirmed returns how long ago discovery last confirmed that the endpoint list was complete, -1 ms if it never
// did.
func (r *Router) sinceListConfirmed() time.Duration {
	confirmed := r.discovery.CompleteAsOf()
	if confirmed.IsZero() {
		return -time.Millisecond
	}
	return time.Since(confirmed)
}

// addQueueLength adds the length of a listener's accept queue to a log line, if the system tells it.
func addQueueLength(line *zerolog.Event, listener syscall.Conn) *zerolog.Event {
	if unaccepted, ok := acceptqueue.Length(listener); ok {
		line = line.Int("unaccepted", unaccepted)
	}
	return line
}

// peak is a maximum into which several goroutines may record; zero if nothing was recorded.
type peak struct{ atomic.Int64 }

// record sets the peak to n if n is larger.
func (p *peak) record(n int64) {
	for {
		old := p.Load()
		if n <= old || p.CompareAndSwap(old, n) {
			return
		}
	}
}

// take returns the peak and resets it.
func (p *peak) take() int64 { return p.Swap(0) }

// traceRejections logs the reason for each rejection and failure at trace level.
func (r *Router) traceRejections() error {
	if r.log.Trace() == nil {
		return nil
	}
	return r.core.SetTrace(&control.Trace{OnDecision: func(explanation control.Explanation) {
		if explanation.Decision.Action != control.Reject && explanation.Decision.Action != control.Fail {
			return
		}
		var loaded, loading, pending, overloaded, ejected int
		for _, server := range explanation.Servers {
			pending += server.PendingLoads
			loaded, loading = loaded+boolToInt(server.Loaded), loading+boolToInt(server.IsLoading)
			overloaded, ejected = overloaded+boolToInt(server.Overloaded), ejected+boolToInt(server.Ejected)
		}
		r.log.Trace().Str("id", fmt.Sprintf(requestIDFormat, uint64(explanation.Request))).Str("why", string(explanation.Reason)).
			Str("function", fmt.Sprintf("%016x", uint64(explanation.Function))).Int64("exec", int64(explanation.ExecTime)).
			Int64("slack", int64(explanation.Slack)).Int64("load", int64(explanation.LoadTime)).
			Int("held", explanation.Held).Float64("B", explanation.B).Int("loaded", loaded).
			Int("loading", loading).Int("pending_loads", pending).Int("overloaded", overloaded).Int("ejected", ejected).
			Int("servers", len(explanation.Servers)).Msg("request rejected or failed")
	}})
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// logAttempt logs the end of an attempt or load command at debug level.
func (r *Router) logAttempt(now control.Micros, call *serverCall, result control.Result, answer *binframe.Answer) {
	event := r.log.Debug()
	if event == nil {
		return
	}
	function := uint64(call.load.Function)
	if call.request != nil {
		function = uint64(call.request.message.FunctionID())
	}
	if answer != nil {
		event = event.Uint8("cache_status", uint8(answer.CacheStatus))
	}
	event.Str("id", fmt.Sprintf(requestIDFormat, uint64(call.id))).Bool("load_command", call.request == nil).
		Str("function", fmt.Sprintf("%016x", function)).
		Str("server", call.address()).Int64("chosen", int64(call.chosenAt)).Bool("written_whole", call.writtenWhole.Load()).
		Int64("answered", int64(now)).Uint8("result", uint8(result)).Msg("attempt ended")
}
