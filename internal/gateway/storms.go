package gateway

import (
	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/overload"
	"hollymast/kserve"
)

// admitted asks whether a job is let in; where storms are not damped all are.
func (g *Gateway) admitted(now control.Micros, name string, w control.ClassID, tenant control.TenantID, ask kserve.Ask) overload.Decision {
	if g.storm == nil {
		return overload.Decision{Admitted: true}
	}
	return g.storm.Admit(now, overload.Request{Tenant: tenant, IsRetry: ask.Repeat, KeyHash: hashed(ask.Mark),
		Function: functionID(g.told.NameKey, name), Importance: g.told.Priorities[w]})
}

// hashed names a client's mark; 0: it gave none.
func hashed(mark string) uint64 {
	if mark == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(mark))
}

// spread gives the pause that a refusal of the module's carries to its client.
func (g *Gateway) spread(j *job, stay control.Micros) control.Micros {
	if g.storm == nil {
		return stay
	}
	return g.storm.RecordRejection(g.clock, stay, hashed(j.request.Header.Get(kserve.RepeatMark)))
}

// watchStorm tells operators of storms, after a turn.
func (g *Gateway) watchStorm() {
	if g.storm == nil {
		return
	}
	g.metrics.storm.Set(float64(g.storm.Kind()))
	for _, text := range g.storm.LogLines() {
		g.log.Warn().Msg("storm: " + text)
	}
}
