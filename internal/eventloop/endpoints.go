package eventloop

import (
	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/fleet"
)

// ApplyUpdate applies an endpoint update, full or incremental, to the fleet and the core. It then calls refresh for
// each connection pool whose server may have changed, where the service withdraws attempts that must not be written any
// more. refresh may delete the pool from pools.
func ApplyUpdate[Pool any](
	now control.Micros, update fleet.Update, fleet *fleet.Fleet, core *core.Core,
	pools map[control.ServerID]Pool, refresh func(Pool),
) {
	if update.Full {
		core.UpdateEndpoints(now, control.FullUpdate, fleet.FullUpdate(now, update.Endpoints))
		for _, pool := range pools {
			refresh(pool)
		}
		return
	}
	changed := fleet.IncrementalUpdate(now, update.Endpoints)
	core.UpdateEndpoints(now, control.IncrementalUpdate, changed)
	for _, endpoint := range changed {
		if pool, ok := pools[endpoint.Server]; ok {
			refresh(pool)
		}
	}
}
