// Package terms puts the start settings, and the names in them, into the module's words.
package terms

import (
	"fmt"

	"hollymast/control"
	"hollymast/internal/wire"
)

// Report reads a load report: values in the order of the fields that the settings name. Nil where there is none.
func Report(fields []string, load []float32) *control.Report {
	if len(load) == 0 {
		return nil
	}
	rep := &control.Report{Util: -1, Loads: -1, Pinned: -1}
	for i, v := range load[:min(len(load), len(fields))] {
		switch fields[i] {
		case "cpu_share":
			rep.Util = float64(v)
		case "x1":
			rep.Loads = float64(v)
		case "x0":
			rep.Pinned = float64(v)
		}
	}
	return rep
}

// Deployment puts the start settings into the module's words.
func Deployment(b *wire.BootInfo) (control.Deployment, error) {
	d := control.Deployment{
		Routers: b.Balancers, Number: b.SelfIndex, Zone: control.ZoneID(b.Zone), Tick: control.Micros(b.Tick),
		MaxExecutions: b.Ceilings.TryLimit, Cancels: b.Ceilings.Cancel,
		MarksRepeats: b.Clients.MarksRetry, ListOnRequest: b.Discovery == "on_request",
		ColdFrom: b.Contract.ColdFrom,
		Cold:     control.Micros(b.Contract.Cold), Fall: control.Micros(b.Contract.Fall),
		FallMultiple: b.Contract.FallMultiple, KeepAlive: control.Micros(b.Specifics.LingerIdle),
		Orders: b.Specifics.LoadControl, LoadWindow: control.Micros(b.Specifics.LoadWindow),
		LoadFree: b.Specifics.LoadsAnyway, LoadShare: b.Specifics.LoadPart,
		LoadsOnMiss: b.Specifics.WhenAbsent != "miss",
	}
	if b.Ceilings.RetryAfter {
		d.MaxStayAway = control.Micros(b.Ceilings.MaxRetryAfter)
	}
	for _, c := range b.Customers {
		d.Shares = append(d.Shares, c.AllowancePerS)
	}
	effects := map[string]control.Effect{"pure": control.Restartable, "token": control.Fingerprinted,
		"side_effect": control.RunOnce}
	scopes := map[string]control.Scope{"all": control.WholeFleet, "zone": control.OneZone, "cell": control.OneCell}
	for i, c := range b.Classes {
		effect, ok := effects[c.Semantics]
		if !ok {
			return d, fmt.Errorf("start settings: class %d: unknown semantics %q", i, c.Semantics)
		}
		scope, ok := scopes[c.KeyScope]
		if !ok && effect == control.Fingerprinted {
			return d, fmt.Errorf("start settings: class %d: unknown key_scope %q", i, c.KeyScope)
		}
		d.Workloads = append(d.Workloads, control.Workload{StartTarget: control.Micros(c.Aim),
			TimeLimit: control.Micros(c.HardLimit), Stretch: c.Stretch,
			Effect: effect, Scope: scope,
			Window: control.Micros(c.Window)})
	}
	return d, nil
}
