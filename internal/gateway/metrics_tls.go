package gateway

import (
	"hollymast/internal/certstore"

	"github.com/prometheus/client_golang/prometheus"
)

// ringMetrics tells what rings have met, by kind of connections.
type certMetrics map[string]*certstore.Store

var (
	handshakesDesc = prometheus.NewDesc("hollymast_tls_handshakes_total", "Secret connections begun.", []string{"connections"}, nil)
	rejectedDesc   = prometheus.NewDesc("hollymast_tls_refused_total", "Peers that were not believed, and handshakes that failed otherwise.",
		[]string{"connections", "reason"}, nil)
	expiryDesc = prometheus.NewDesc("hollymast_tls_certificate_ends_seconds", "When the certificate in service ends, in Unix time.",
		[]string{"connections"}, nil)
)

func (m certMetrics) Describe(out chan<- *prometheus.Desc) {
	out <- handshakesDesc
	out <- rejectedDesc
	out <- expiryDesc
}

func (m certMetrics) Collect(out chan<- prometheus.Metric) {
	for kind, r := range m {
		c := r.Stats()
		out <- prometheus.MustNewConstMetric(handshakesDesc, prometheus.CounterValue, float64(c.Handshakes), kind)
		out <- prometheus.MustNewConstMetric(rejectedDesc, prometheus.CounterValue, float64(c.FailedHandshakes), kind, "other")
		for reason, n := range c.RejectedPeers {
			out <- prometheus.MustNewConstMetric(rejectedDesc, prometheus.CounterValue, float64(n), kind, reason)
		}
		if c.ExpiresAt > 0 {
			out <- prometheus.MustNewConstMetric(expiryDesc, prometheus.GaugeValue, float64(c.ExpiresAt)/1e6, kind)
		}
	}
}
