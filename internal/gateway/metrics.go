package gateway

import (
	"bytes"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"hollymast/control"
	"hollymast/internal/rest"
)

// metrics are the gateway's metrics. Dashboards depend on their names, labels and label values.
type metrics struct {
	registry           *prometheus.Registry
	answers            *prometheus.CounterVec // by finalAnswer
	attempts           *prometheus.CounterVec // by result
	attemptsByResult   [control.NotLoaded + 1]prometheus.Counter
	loadCommands       prometheus.Counter
	loads              prometheus.Counter // attempts that caused a load
	lateAnswers        prometheus.Counter
	connsRejected      prometheus.Counter
	overloadRejections *prometheus.CounterVec // by kind of overload
	journalRejections  prometheus.Counter
	inFlight           prometheus.Gauge
	held               prometheus.Gauge
	servers            prometheus.Gauge
	overloadKind       prometheus.Gauge
	stepSeconds        prometheus.Histogram
}

// newMetrics creates and registers the metrics.
func newMetrics() *metrics {
	vector := func(name, label, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "hollymast_" + name, Help: help}, []string{label})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "hollymast_" + name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "hollymast_" + name, Help: help})
	}
	m := &metrics{
		registry:           prometheus.NewRegistry(),
		answers:            vector("jobs_total", "answer", "Requests by final answer."),
		attempts:           vector("executions_total", "result", "Attempts by result."),
		loadCommands:       counter("orders_total", "Load commands sent to servers."),
		loads:              counter("loads_total", "Attempts that caused a load."),
		lateAnswers:        counter("late_answers_total", "Responses dropped because their request had its final answer already."),
		connsRejected:      counter("connections_turned_away_total", "Client connections rejected because of the connection limit."),
		overloadRejections: vector("storm_refused_total", "kind", "Requests rejected in an overload, by kind of overload."),
		journalRejections:  counter("journal_refused_total", "Requests rejected because the journal could not record them."),
		inFlight:           gauge("jobs_in_hand", "Requests in flight, including answered ones with unfinished attempts."),
		held:               gauge("jobs_held", "Requests held in this router until an instance is available."),
		servers:            gauge("servers_ready", "Servers listed as ready."),
		overloadKind:       gauge("storm", "Current kind of overload: 0 none, 1 retry wave, 2 return after an outage, 3 router woken, 4 one tenant, 5 reconnect rush."),
		stepSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "hollymast_turn_seconds", Help: "Duration of an event-loop step.",
			Buckets: prometheus.ExponentialBuckets(10e-6, 2, 14), // 10 us to 80 ms
		}),
	}
	m.registry.MustRegister(m.answers, m.attempts, m.loadCommands, m.loads, m.lateAnswers, m.connsRejected,
		m.overloadRejections, m.journalRejections, m.inFlight, m.held, m.servers, m.overloadKind, m.stepSeconds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for result := range m.attemptsByResult {
		m.attemptsByResult[result] = m.attempts.WithLabelValues(resultNames[result])
	}
	return m
}

// registerJournal registers the counter of journal failures; keeper may be nil.
func (m *metrics) registerJournal(keeper *stateKeeper) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "hollymast_journal_failures_total", Help: "Failed writes and syncs of the journal.",
	}, func() float64 {
		if keeper == nil {
			return 0
		}
		return float64(keeper.FailureCount())
	}))
}

// countAnswer counts a final answer.
func (m *metrics) countAnswer(answer finalAnswer) { m.answers.WithLabelValues(string(answer)).Inc() }

// countAttempt counts the end of an attempt.
func (m *metrics) countAttempt(result control.Result) { m.attemptsByResult[result].Inc() }

// response returns the metrics in the Prometheus text format.
func (m *metrics) response() *rest.Response {
	families, err := m.registry.Gather()
	if err != nil {
		return errorResponse(500, err.Error())
	}
	var body bytes.Buffer
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	encoder := expfmt.NewEncoder(&body, format)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			return errorResponse(500, err.Error())
		}
	}
	return &rest.Response{Status: 200, Header: rest.Header{"Content-Type": {string(format)}}, Body: body.Bytes()}
}
