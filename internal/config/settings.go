// Package config puts the start settings, and the names in them, into the module's words.
package config

import (
	"fmt"

	"hollymast/control"
	"hollymast/internal/wire"
)

// Report reads a load report: values in the order of the fields that the settings name. Nil where there is none.
func Report(fields []string, load []float32) *control.LoadReport {
	if len(load) == 0 {
		return nil
	}
	rep := &control.LoadReport{Utilization: -1, PendingLoads: -1, PinnedMemory: -1}
	for i, v := range load[:min(len(load), len(fields))] {
		switch fields[i] {
		case "cpu_share":
			rep.Utilization = float64(v)
		case "x1":
			rep.PendingLoads = float64(v)
		case "x0":
			rep.PinnedMemory = float64(v)
		}
	}
	return rep
}

// Deployment puts the start settings into the module's words.
func Deployment(b *wire.BootInfo) (control.Deployment, error) {
	d := control.Deployment{
		Routers: b.Balancers, Number: b.SelfIndex, Zone: control.ZoneID(b.Zone), Tick: control.Micros(b.Tick),
		MaxAttempts: b.Ceilings.TryLimit, SupportsCancel: b.Ceilings.Cancel,
		MarksRetries: b.Clients.MarksRetry, EndpointsOnRequest: b.Discovery == "on_request",
		SlowStartInitial:  b.Contract.ColdFrom,
		SlowStartDuration: control.Micros(b.Contract.Cold), OverloadWindow: control.Micros(b.Contract.Fall),
		OverloadFactor: b.Contract.FallMultiple, KeepAlive: control.Micros(b.Specifics.LingerIdle),
		LoadCommands: b.Specifics.LoadControl, LoadRateWindow: control.Micros(b.Specifics.LoadWindow),
		LoadRateBase: b.Specifics.LoadsAnyway, LoadRatePerRequest: b.Specifics.LoadPart,
		LoadsOnMiss: b.Specifics.WhenAbsent != "miss",
	}
	if b.Ceilings.RetryAfter {
		d.MaxRetryAfter = control.Micros(b.Ceilings.MaxRetryAfter)
	}
	for _, c := range b.Customers {
		d.Quotas = append(d.Quotas, c.AllowancePerS)
	}
	effects := map[string]control.Effect{"pure": control.Idempotent, "token": control.IdempotentByKey,
		"side_effect": control.NonIdempotent}
	scopes := map[string]control.Scope{"all": control.WholeFleet, "zone": control.OneZone, "cell": control.OneCell}
	for i, c := range b.Classes {
		effect, ok := effects[c.Semantics]
		if !ok {
			return d, fmt.Errorf("start settings: class %d: unknown semantics %q", i, c.Semantics)
		}
		scope, ok := scopes[c.KeyScope]
		if !ok && effect == control.IdempotentByKey {
			return d, fmt.Errorf("start settings: class %d: unknown key_scope %q", i, c.KeyScope)
		}
		d.Classes = append(d.Classes, control.Class{LatencyObjective: control.Micros(c.Aim),
			MaxDeadline: control.Micros(c.HardLimit), ObjectivePerWork: c.Stretch,
			Effect: effect, Scope: scope,
			Window: control.Micros(c.Window)})
	}
	return d, nil
}
