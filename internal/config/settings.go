// Package config converts the simulator's start settings (simproto.BootInfo), and the load reports that they describe,
// to the balancer's types.
package config

import (
	"fmt"

	"hollymast/control"
	"hollymast/internal/simproto"
)

// LoadReport converts a server's load report, whose values come in the order of the fields named in the settings. It
// returns nil if the report is empty. Values that are not reported are -1 in the result.
func LoadReport(fields []string, load []float32) *control.LoadReport {
	if len(load) == 0 {
		return nil
	}
	report := &control.LoadReport{Utilization: -1, PendingLoads: -1, PinnedMemory: -1}
	for i, v := range load[:min(len(load), len(fields))] {
		switch fields[i] {
		case "cpu_share":
			report.Utilization = float64(v)
		case "x1":
			report.PendingLoads = float64(v)
		case "x0":
			report.PinnedMemory = float64(v)
		}
	}
	return report
}

// Deployment converts the start settings. Times are in microseconds on both sides. It returns an error if a
// class has unknown semantics, or an unknown key scope where it needs one.
func Deployment(boot *simproto.BootInfo) (control.Deployment, error) {
	d := control.Deployment{
		Routers:                   boot.Balancers,
		RouterIndex:               boot.SelfIndex,
		Zone:                      control.ZoneID(boot.Zone),
		Tick:                      control.Micros(boot.Tick),
		MaxAttempts:               boot.Ceilings.TryLimit,
		SupportsCancel:            boot.Ceilings.Cancel,
		ClientsMarkRetries:        boot.Clients.MarksRetry,
		EndpointsNeedSubscription: boot.Discovery == "on_request",
		SlowStartInitial:          boot.Contract.ColdFrom,
		SlowStartDuration:         control.Micros(boot.Contract.Cold),
		OverloadWindow:            control.Micros(boot.Contract.Fall),
		OverloadFactor:            boot.Contract.FallMultiple,
		KeepAlive:                 control.Micros(boot.Specifics.LingerIdle),
		SupportsLoadCommands:      boot.Specifics.LoadControl,
		LoadRateWindow:            control.Micros(boot.Specifics.LoadWindow),
		LoadRateBase:              boot.Specifics.LoadsAnyway,
		LoadRatePerRequest:        boot.Specifics.LoadPart,
		LoadsOnMiss:               boot.Specifics.WhenAbsent != "miss",
	}
	if boot.Ceilings.RetryAfter {
		d.MaxRetryAfter = control.Micros(boot.Ceilings.MaxRetryAfter)
	}
	for _, c := range boot.Customers {
		d.Quotas = append(d.Quotas, c.AllowancePerS)
	}
	idempotencies := map[string]control.Idempotency{"pure": control.Idempotent, "token": control.IdempotentByKey,
		"side_effect": control.NonIdempotent}
	scopes := map[string]control.DedupScope{"all": control.WholeFleet, "zone": control.OneZone, "cell": control.OneCell}
	for i, c := range boot.Classes {
		idempotency, ok := idempotencies[c.Semantics]
		if !ok {
			return d, fmt.Errorf("start settings: class %d: unknown semantics %q", i, c.Semantics)
		}
		scope, ok := scopes[c.KeyScope]
		if !ok && idempotency == control.IdempotentByKey {
			return d, fmt.Errorf("start settings: class %d: unknown key_scope %q", i, c.KeyScope)
		}
		d.Classes = append(d.Classes, control.Class{
			LatencyObjective:     control.Micros(c.Aim),
			MaxDeadline:          control.Micros(c.HardLimit),
			ObjectivePerExecTime: c.Stretch,
			Idempotency:          idempotency,
			DedupScope:           scope,
			DedupWindow:          control.Micros(c.Window),
		})
	}
	return d, nil
}
