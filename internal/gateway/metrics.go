package gateway

import (
	"bytes"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"hollymast/control"
	"hollymast/internal/rest"
)

type metrics struct {
	registry                   *prometheus.Registry
	answers, attempts          *prometheus.CounterVec
	inFlight, held, servers    prometheus.Gauge
	loadCommands, loads        prometheus.Counter
	lateAnswers, connsRejected prometheus.Counter
	stepSeconds                prometheus.Histogram
	overloadRejections         *prometheus.CounterVec
	journalRejections          prometheus.Counter
	overloadKind               prometheus.Gauge
	attemptsByResult           [control.NotLoaded + 1]prometheus.Counter
}

var resultNames = [...]string{"finished", "errored", "full", "timed out", "no connection", "reset", "cancelled",
	"never sent", "missing"}

func newMetrics(config *Config) *metrics {
	count := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "hollymast_" + name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "hollymast_" + name, Help: help})
	}
	m := &metrics{registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "hollymast_jobs_total",
			Help: "Jobs by their final answer."}, []string{"answer"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "hollymast_executions_total",
			Help: "Executions by how they ended."}, []string{"result"}),
		inFlight:     gauge("jobs_in_hand", "Jobs in hand, those included whose executions are still out."),
		held:         gauge("jobs_held", "Jobs that wait here for a copy."),
		servers:      gauge("servers_ready", "Servers that the list calls ready."),
		loadCommands: count("orders_total", "Orders to load."),
		loads:        count("loads_total", "Executions that began a load."),
		overloadRejections: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "hollymast_storm_refused_total",
			Help: "Jobs pushed back in a storm, by its kind."}, []string{"kind"}),
		overloadKind:      gauge("storm", "The storm that is on: 0 none, 1 retry wave, 2 return, 3 woken, 4 one tenant, 5 reconnect rush."),
		lateAnswers:       count("late_answers_total", "Answers dropped because their job had its final answer."),
		journalRejections: count("journal_refused_total", "Jobs pushed back because the journal can't keep what a restart must know of them."),
		connsRejected:     count("connections_turned_away_total", "Client connections beyond the bound."),
		stepSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "hollymast_turn_seconds", Help: "Time of a turn.",
			Buckets: prometheus.ExponentialBuckets(10e-6, 2, 14)}), // 10 us to 80 ms
	}
	m.registry.MustRegister(m.answers, m.attempts, m.inFlight, m.held, m.servers, m.loadCommands, m.loads, m.lateAnswers, m.connsRejected, m.stepSeconds, m.overloadRejections, m.overloadKind, m.journalRejections,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for r := range m.attemptsByResult {
		m.attemptsByResult[r] = m.attempts.WithLabelValues(resultNames[r])
	}
	return m
}

// journal counts what fails of a router's journal.
func (m *metrics) registerJournal(keeper *stateKeeper) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "hollymast_journal_failures_total",
		Help: "Writes and syncs of the journal that failed."}, func() float64 {
		if keeper == nil {
			return 0
		}
		return float64(keeper.Failures())
	}))
}

func (m *metrics) countAnswer(word string) { m.answers.WithLabelValues(word).Inc() }

func (m *metrics) countAttempt(r control.Result) { m.attemptsByResult[r].Inc() }

// page is the metrics in Prometheus' text form.
func (m *metrics) response() *rest.Response {
	families, err := m.registry.Gather()
	if err != nil {
		return errorResponse(500, err.Error())
	}
	var b bytes.Buffer
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	enc := expfmt.NewEncoder(&b, format)
	for _, f := range families {
		if err := enc.Encode(f); err != nil {
			return errorResponse(500, err.Error())
		}
	}
	return &rest.Response{Status: 200, Header: rest.Header{"Content-Type": {string(format)}}, Body: b.Bytes()}
}
