package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"hollymast/internal/certstore"
)

// certMetrics exports the statistics of the certificate stores, by kind of connection.
type certMetrics map[string]*certstore.Store

var (
	handshakesDesc = prometheus.NewDesc("hollymast_tls_handshakes_total", "Successful TLS handshakes.", []string{"connections"}, nil)
	rejectedDesc   = prometheus.NewDesc("hollymast_tls_refused_total", "TLS peers that were rejected, and handshakes that failed otherwise.",
		[]string{"connections", "reason"}, nil)
	expiryDesc = prometheus.NewDesc("hollymast_tls_certificate_ends_seconds", "Expiry of the current certificate, in Unix time.",
		[]string{"connections"}, nil)
)

// Describe is part of prometheus.Collector.
func (m certMetrics) Describe(out chan<- *prometheus.Desc) {
	out <- handshakesDesc
	out <- rejectedDesc
	out <- expiryDesc
}

// Collect is part of prometheus.Collector.
func (m certMetrics) Collect(out chan<- prometheus.Metric) {
	for kind, store := range m {
		stats := store.Stats()
		out <- prometheus.MustNewConstMetric(handshakesDesc, prometheus.CounterValue, float64(stats.Handshakes), kind)
		out <- prometheus.MustNewConstMetric(rejectedDesc, prometheus.CounterValue, float64(stats.FailedHandshakes), kind, "other")
		for reason, n := range stats.RejectedPeers {
			out <- prometheus.MustNewConstMetric(rejectedDesc, prometheus.CounterValue, float64(n), kind, reason.String())
		}
		if stats.ExpiresAt > 0 {
			out <- prometheus.MustNewConstMetric(expiryDesc, prometheus.GaugeValue, float64(stats.ExpiresAt)/1e6, kind)
		}
	}
}
