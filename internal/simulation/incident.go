package simulation

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/modelserver"
)

// scheduleIncident schedules the beginning and the end of an incident.
func (sim *simulation) scheduleIncident(incident *Incident) {
	from, to := epoch+incident.At, epoch+incident.At+incident.Duration
	switch incident.Kind {
	case ServerFault:
		sim.atServers(incident, from, func(s *server) { s.model.SetFaults(incident.Faults) })
		sim.atServers(incident, to, func(s *server) { s.model.SetFaults(modelserver.Faults{}) })
	case ServerCrash:
		sim.atServers(incident, from, func(s *server) { s.model.Kill() })
		sim.restartServers(incident, to)
	case ServerDeploy:
		sim.atEndpoints(incident, from, func(e *control.Endpoint) { e.State = control.Draining })
		sim.atEndpoints(incident, to-1, func(e *control.Endpoint) { e.State = control.Removed })
		sim.atServers(incident, to-1, func(s *server) { s.model.Kill() })
		sim.restartServers(incident, to)
	case StoreDegraded:
		infra := sim.infrastructure
		infra.node.at(from, func() {
			infra.store.Degrade(max(1, incident.StoreSlowdown), modelserver.StoreState(incident.StoreClosed))
		})
		infra.node.at(to, func() { infra.store.Degrade(1, modelserver.StoreOpen) })
	case StaleEndpoints:
		infra := sim.infrastructure
		infra.node.at(from, func() { infra.staleIncidents++ })
		infra.node.at(to, func() {
			infra.staleIncidents--
			infra.publish()
		})
	case RouterStall:
		sim.atRouters(incident, from, func(r *router) { r.stall(to) })
	case RouterCrash:
		sim.atRouters(incident, from, func(r *router) { r.kill() })
		sim.atRouters(incident, to, func(r *router) { r.start() })
	case NetworkPartition:
		sim.atRouters(incident, from, func(r *router) { r.partitions = append(r.partitions, incident) })
		sim.atRouters(incident, to, func(r *router) {
			r.partitions = slices.DeleteFunc(r.partitions, func(partition *Incident) bool { return partition == incident })
		})
	}
}

// restartServers starts an incident's servers in slow start and publishes them as ready.
func (sim *simulation) restartServers(incident *Incident, at control.Micros) {
	sim.atServers(incident, at, func(s *server) { s.model.Start(modelserver.SlowStart) })
	sim.atEndpoints(incident, at, func(e *control.Endpoint) { e.State, e.StartedAt = control.Ready, at })
}

// atServers calls f at a time for each of an incident's servers.
func (sim *simulation) atServers(incident *Incident, at control.Micros, f func(s *server)) {
	for _, i := range incident.Targets {
		s := sim.servers[i]
		s.node.at(at, func() { f(s) })
	}
}

// atRouters calls f at a time for each of an incident's routers.
func (sim *simulation) atRouters(incident *Incident, at control.Micros, f func(r *router)) {
	for _, i := range incident.Targets {
		r := sim.routers[i]
		r.node.at(at, func() { f(r) })
	}
}

// atEndpoints calls f at a time for the endpoints of all of an incident's servers and then publishes the list once.
func (sim *simulation) atEndpoints(incident *Incident, at control.Micros, f func(e *control.Endpoint)) {
	infra := sim.infrastructure
	infra.node.at(at, func() {
		for _, i := range incident.Targets {
			f(&infra.endpoints[i])
		}
		infra.publish()
	})
}
