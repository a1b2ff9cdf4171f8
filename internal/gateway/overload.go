package gateway

import (
	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/overload"
	"hollymast/kserve"
)

// admitted asks whether a job is let in; where storms are not damped all are.
func (g *Gateway) admit(now control.Micros, name string, class control.ClassID, tenant control.TenantID, ask kserve.Ask) overload.Decision {
	if g.overload == nil {
		return overload.Decision{Admitted: true}
	}
	return g.overload.Admit(now, overload.Request{Tenant: tenant, IsRetry: ask.Repeat, KeyHash: hashKey(ask.Mark),
		Function: functionID(g.config.NameKey, name), Importance: g.config.Priorities[class]})
}

// hashed names a client's mark; 0: it gave none.
func hashKey(key string) uint64 {
	if key == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(key))
}

// spread gives the pause that a refusal of the module's carries to its client.
func (g *Gateway) spreadRetryAfter(req *request, retryAfter control.Micros) control.Micros {
	if g.overload == nil {
		return retryAfter
	}
	return g.overload.RecordRejection(g.stepTime, retryAfter, hashKey(req.message.Header.Get(kserve.RepeatMark)))
}

// watchStorm tells operators of storms, after a turn.
func (g *Gateway) logOverload() {
	if g.overload == nil {
		return
	}
	g.metrics.overloadKind.Set(float64(g.overload.Kind()))
	for _, text := range g.overload.LogLines() {
		g.log.Warn().Msg("storm: " + text)
	}
}
