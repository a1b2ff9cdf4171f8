package gateway

import (
	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/overload"
	"hollymast/kserve"
)

// admit decides whether a request is admitted in an overload. Without overload damping, all requests are.
func (g *Gateway) admit(now control.Micros, req *request) overload.Decision {
	if g.overload == nil {
		return overload.Decision{Admitted: true}
	}
	return g.overload.Admit(now, overload.Request{
		Tenant: req.tenant, IsRetry: req.params.IsRetry, KeyHash: hashKey(req.params.IdempotencyKey),
		Function: functionID(g.config.NameKey, req.function), Priority: g.config.Priorities[req.pattern.Class],
	})
}

// hashKey returns the hash of a client's idempotency key; 0 for none.
func hashKey(key string) uint64 {
	if key == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(key))
}

// spreadRetryAfter returns the retry-after time for a request that the core rejects. In an overload it varies between
// requests, so that clients do not all return at once.
func (g *Gateway) spreadRetryAfter(req *request, retryAfter control.Micros) control.Micros {
	if g.overload == nil {
		return retryAfter
	}
	return g.overload.RecordRejection(g.loop.StepTime, retryAfter, hashKey(req.message.Header.Get(kserve.IdempotencyKeyHeader)))
}

// logOverload logs the overload controller's messages of a step, and updates the metric.
func (g *Gateway) logOverload() {
	if g.overload == nil {
		return
	}
	g.metrics.overloadKind.Set(float64(g.overload.Kind()))
	for _, line := range g.overload.LogLines() {
		g.log.Warn().Msg("storm: " + line)
	}
}
