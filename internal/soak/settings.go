package soak

import (
	"encoding/json"
	"fmt"

	"hollymast/internal/discovery"
)

// tenant is the one tenant of a run.
const tenant = "tenant-a"

// zoneName returns the name of the nth zone.
func zoneName(nth int) string { return fmt.Sprintf("zone-%d", nth) }

// object is a JSON object of the settings, which have no type of their own here: their keys are the platform's.
type object map[string]any

// settings returns a router's start settings.
func (s *Scenario) settings(router int) object {
	var zones []string
	for zone := range s.Zones {
		zones = append(zones, zoneName(zone))
	}
	var classes []object
	for _, class := range s.Classes {
		classes = append(classes, object{"name": class.Name, "aim": class.Objective.Microseconds(), "hard_limit": class.Deadline.Microseconds(),
			"importance": 1, "semantics": class.Semantics, "key_scope": "all", "window": class.Window.Microseconds()})
	}
	return object{
		"balancers": s.Routers, "self_index": router, "tick": 4000, "zones": zones, "zone": router % s.Zones,
		"ceilings": object{"cancel": true, "conn_idle": s.ServerIdleTimeout.Microseconds(), "connect_timeout": 250_000, "max_retry_after": 2_000_000,
			"retry_after": true, "streams_per_conn": 100, "try_limit": 3},
		"classes": classes, "clients": object{"marks_retry": true},
		"contract": object{"stop_sending_within": s.DrainGrace.Microseconds(), "cold": s.SlowStartDuration.Microseconds(), "cold_from": s.SlowStartInitial,
			"fall": s.OverloadWindow.Microseconds(), "fall_multiple": s.OverloadFactor},
		"customers": []object{{"name": tenant, "allowance_per_s": 2 * s.requestRate()}},
		"specifics": object{"when_absent": "load", "linger_idle": 10_000_000, "order_limit": 4_000_000, "kind_memory_mb": []int{4000},
			"load_control": true, "load_window": s.LoadRateWindow.Microseconds(), "loads_anyway": s.LoadRateBase, "load_part": s.LoadRatePerRequest},
	}
}

// configuration returns a router's configuration file.
func (s *Scenario) configuration(router int, listen, discoveryAddress string, seed uint64, known []discovery.Event) ([]byte, error) {
	history := discovery.History{Events: known}
	if n := len(known); n > 0 {
		history.Revision = known[n-1].Revision
	}
	return json.Marshal(object{
		"name": routerName(router), "listen": listen, "seed": fmt.Sprintf("%016x", seed), "board": discoveryAddress,
		"limits": object{"cores": 1, "memory_mb": 128, "sockets": 1024}, "known": history, "settings": s.settings(router),
	})
}

// routerName returns the name of the nth router.
func routerName(nth int) string { return fmt.Sprintf("n%d", nth) }
