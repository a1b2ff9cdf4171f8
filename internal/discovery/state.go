// Package discovery keeps an endpoint list in sync with a discovery server, which sends changes as numbered events, one
// per line. State and Subscription interpret the lines, and schedule decides when to subscribe again, all without I/O or
// clocks; Client does the I/O.
package discovery

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// History is the part of a configuration that lists all events up to a revision.
type History struct {
	Revision uint64  `json:"rev"`
	Events   []Event `json:"notices"`
}

// Event is one numbered event.
type Event struct {
	Revision uint64         `json:"rev"`
	Update   *UpdateMessage `json:"pool"` // nil: the event does not concern the endpoint list
}

// UpdateMessage lists either all servers or only those that changed.
type UpdateMessage struct {
	All       bool              `json:"all"`
	Endpoints []EndpointMessage `json:"targets"`
}

// EndpointMessage describes one server in an UpdateMessage.
type EndpointMessage struct {
	UID         string  `json:"uid"`
	Address     string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Cell        int     `json:"pod_group"`
	State       string  `json:"state"`
	Weight      float64 `json:"capacity_hint"`
	StartedAtMS int64   `json:"boot_ms"`
}

var serverStates = map[string]control.ServerState{"ready": control.Ready, "draining": control.Draining, "gone": control.Removed}

// State is the endpoint list received so far. The zero value is an empty list. It is not safe for concurrent use.
type State struct {
	revision uint64
	servers  map[string]fleet.Endpoint
	update   fleet.Update // the change made by the last applied event
	// retried is set once the event after retriedRevision was unusable and has been requested again. Without it, an event
	// that stays unusable would be requested forever, and a drain after it would never be read.
	retried         bool
	retriedRevision uint64
}

// Revision returns the revision of the last event that was applied.
func (s *State) Revision() uint64 { return s.revision }

// recordRetry records that the event after the current revision is unusable, and reports whether this was already recorded
// for the same revision.
func (s *State) recordRetry() (alreadyRetried bool) {
	alreadyRetried = s.retried && s.retriedRevision == s.revision
	s.retried, s.retriedRevision = true, s.revision
	return alreadyRetried
}

// Effect tells what the caller must do after a line was handled.
type Effect uint8

// Values of Effect.
const (
	None             Effect = iota
	EndpointsChanged        // the endpoint list has changed; call Update
	Resubscribe             // an event is missing; subscribe again to all events after Revision
)

// errorOnce returns err the first time that the event after the current revision is unusable, and nil from then on.
func (s *State) errorOnce(err error) (Effect, error) {
	if s.recordRetry() {
		return None, nil
	}
	return None, err
}

// isAfterGap reports whether events are missing between the last applied event and e.
func (s *State) isAfterGap(e Event) bool { return s.revision > 0 && e.Revision > s.revision+1 }

// apply applies the event that follows the current revision. An invalid event is skipped if it was invalid before.
func (s *State) apply(e Event) (Effect, error) {
	if e.Update == nil {
		s.revision = e.Revision
		return None, nil
	}
	if err := e.Update.validate(); err != nil {
		effect, err := s.errorOnce(err)
		if err == nil {
			s.revision = e.Revision
		}
		return effect, err
	}
	s.update = s.applyServers(e)
	s.revision = e.Revision
	return EndpointsChanged, nil
}

// applyServers applies the servers of an event and returns the change: the full list if the event is the first one, lists all
// servers or follows a gap.
func (s *State) applyServers(e Event) fleet.Update {
	full := e.Update.All || s.servers == nil || e.Revision > s.revision+1
	if e.Update.All || s.servers == nil {
		s.servers = map[string]fleet.Endpoint{}
	}
	before := make(map[string]fleet.Endpoint, len(e.Update.Endpoints)) // an event may list a server twice
	for _, server := range e.Update.Endpoints {
		if _, seen := before[server.UID]; !seen {
			before[server.UID] = s.servers[server.UID]
		}
		if server.State == "gone" {
			delete(s.servers, server.UID)
			continue
		}
		s.servers[server.UID] = fleet.Endpoint{Name: server.UID, Address: server.Address, State: serverStates[server.State], Zone: server.Zone,
			Cell: strconv.Itoa(server.Cell), Weight: server.Weight, StartedAt: server.StartedAtMS * 1000}
	}
	if full {
		return fleet.Update{Full: true, Endpoints: s.Endpoints()}
	}
	return fleet.Update{Endpoints: s.changedSince(before)}
}

// changedSince returns the servers that differ from before, sorted by name.
func (s *State) changedSince(before map[string]fleet.Endpoint) []fleet.Endpoint {
	changed := make([]fleet.Endpoint, 0, len(before))
	for uid, old := range before {
		current, listed := s.servers[uid]
		if current == old {
			continue
		}
		if !listed {
			current = old
			current.State = control.Removed
		}
		changed = append(changed, current)
	}
	slices.SortFunc(changed, compareByName)
	return changed
}

// validate returns an error if any server of the update is invalid; the whole update is rejected then.
func (u *UpdateMessage) validate() error {
	for _, server := range u.Endpoints {
		if _, ok := serverStates[server.State]; !ok || server.UID == "" || server.State != "gone" && server.Address == "" {
			return fmt.Errorf("discovery: invalid server %q with address %q and state %q", server.UID, server.Address, server.State)
		}
		if server.StartedAtMS < 0 || server.StartedAtMS > math.MaxInt64/1000 {
			return fmt.Errorf("discovery: server %q has invalid start time %d ms", server.UID, server.StartedAtMS)
		}
	}
	return nil
}

// Restore applies the events of a configuration up to the first gap; events after it are requested from the discovery
// server. The restored servers are returned by Endpoints, not by Update.
func (s *State) Restore(h History) error {
	defer s.Update()
	for _, e := range h.Events {
		if s.isAfterGap(e) {
			break
		}
		if e.Revision <= s.revision {
			continue
		}
		if _, err := s.apply(e); err != nil {
			return err
		}
	}
	return nil
}

// Update returns the change made by the last applied event, once; after that an empty update.
func (s *State) Update() fleet.Update {
	update := s.update
	s.update = fleet.Update{}
	return update
}

// Endpoints returns all servers, sorted by name.
func (s *State) Endpoints() []fleet.Endpoint {
	return slices.SortedFunc(maps.Values(s.servers), compareByName)
}

func compareByName(a, b fleet.Endpoint) int { return cmp.Compare(a.Name, b.Name) }
