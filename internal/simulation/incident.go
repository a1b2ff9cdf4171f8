package simulation

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/modelserver"
)

// schedule has an incident begin and end at its targets.
func (w *world) schedule(incident *Incident) {
	from, to := epoch+incident.At, epoch+incident.At+incident.Duration
	switch incident.Kind {
	case ServerFault:
		w.atServers(incident, from, func(s *server) { s.model.SetFaults(incident.Faults) })
		w.atServers(incident, to, func(s *server) { s.model.SetFaults(modelserver.Faults{}) })
	case ServerCrash:
		w.atServers(incident, from, func(s *server) { s.model.Kill() })
		w.restartServers(incident, to)
	case ServerDeploy:
		w.atEndpoints(incident, from, func(e *control.Endpoint) { e.State = control.Draining })
		w.atEndpoints(incident, to-1, func(e *control.Endpoint) { e.State = control.Removed })
		w.atServers(incident, to-1, func(s *server) { s.model.Kill() })
		w.restartServers(incident, to)
	case StoreDegraded:
		infra := w.infrastructure
		infra.node.at(from, func() {
			infra.store.Degrade(max(1, incident.StoreSlowdown), modelserver.StoreState(incident.StoreClosed))
		})
		infra.node.at(to, func() { infra.store.Degrade(1, modelserver.StoreOpen) })
	case StaleEndpoints:
		infra := w.infrastructure
		infra.node.at(from, func() { infra.stale++ })
		infra.node.at(to, func() {
			infra.stale--
			infra.publish()
		})
	case RouterStall:
		w.atRouters(incident, from, func(r *router) { r.stall(to) })
	case RouterCrash:
		w.atRouters(incident, from, func(r *router) { r.kill() })
		w.atRouters(incident, to, func(r *router) { r.start() })
	case NetworkPartition:
		w.atRouters(incident, from, func(r *router) { r.partitions = append(r.partitions, incident) })
		w.atRouters(incident, to, func(r *router) {
			r.partitions = slices.DeleteFunc(r.partitions, func(x *Incident) bool { return x == incident })
		})
	}
}

// restartServers has an incident's servers come back in slow start, and the endpoint list say so.
func (w *world) restartServers(incident *Incident, at control.Micros) {
	w.atServers(incident, at, func(s *server) { s.model.Start(modelserver.SlowStart) })
	w.atEndpoints(incident, at, func(e *control.Endpoint) { e.State, e.StartedAt = control.Ready, at })
}

func (w *world) atServers(incident *Incident, at control.Micros, f func(s *server)) {
	for _, i := range incident.Targets {
		s := w.servers[i]
		s.node.at(at, func() { f(s) })
	}
}

func (w *world) atRouters(incident *Incident, at control.Micros, f func(r *router)) {
	for _, i := range incident.Targets {
		r := w.routers[i]
		r.node.at(at, func() { f(r) })
	}
}

// atEndpoints changes the endpoints of an incident's servers at once and publishes the list.
func (w *world) atEndpoints(incident *Incident, at control.Micros, f func(e *control.Endpoint)) {
	infra := w.infrastructure
	infra.node.at(at, func() {
		for _, i := range incident.Targets {
			f(&infra.endpoints[i])
		}
		infra.publish()
	})
}
