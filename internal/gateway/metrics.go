package gateway

import (
	"bytes"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"hollymast/control"
	"hollymast/internal/rest"
)

// metrics are the gateway's metrics. Their names, labels and label values are those that dashboards use.
type metrics struct {
	registry           *prometheus.Registry
	answers            *prometheus.CounterVec // by finalAnswer
	attempts           *prometheus.CounterVec // by result
	attemptsByResult   [control.NotLoaded + 1]prometheus.Counter
	loadCommands       prometheus.Counter
	loads              prometheus.Counter // attempts that began a load
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

// newMetrics returns the metrics, registered.
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
		answers:            vector("jobs_total", "answer", "Jobs by their final answer."),
		attempts:           vector("executions_total", "result", "Executions by how they ended."),
		loadCommands:       counter("orders_total", "Orders to load."),
		loads:              counter("loads_total", "Executions that began a load."),
		lateAnswers:        counter("late_answers_total", "Answers dropped because their job had its final answer."),
		connsRejected:      counter("connections_turned_away_total", "Client connections beyond the bound."),
		overloadRejections: vector("storm_refused_total", "kind", "Jobs pushed back in a storm, by its kind."),
		journalRejections:  counter("journal_refused_total", "Jobs pushed back because the journal can't keep what a restart must know of them."),
		inFlight:           gauge("jobs_in_hand", "Jobs in hand, those included whose executions are still out."),
		held:               gauge("jobs_held", "Jobs that wait here for a copy."),
		servers:            gauge("servers_ready", "Servers that the list calls ready."),
		overloadKind:       gauge("storm", "The storm that is on: 0 none, 1 retry wave, 2 return, 3 woken, 4 one tenant, 5 reconnect rush."),
		stepSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "hollymast_turn_seconds", Help: "Time of a turn.",
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

// registerJournal registers the count of the journal's failures; keeper may be nil.
func (m *metrics) registerJournal(keeper *stateKeeper) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "hollymast_journal_failures_total", Help: "Writes and syncs of the journal that failed.",
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

// response returns the metrics in Prometheus' text form.
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
