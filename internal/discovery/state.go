// Package discovery follows a discovery server: the endpoint list as it sends it, in numbered events, one a
// line. What a line means and when to subscribe again is plain state (State), free of I/O and clocks; Client
// dials and reads.
package discovery

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// History is what a configuration holds of discovery: all events so far.
type History struct {
	Revision uint64  `json:"rev"`
	Events   []Event `json:"notices"`
}

// Event is one numbered event.
type Event struct {
	Revision uint64         `json:"rev"`
	Update   *UpdateMessage `json:"pool"` // nil: an event about something else
}

// UpdateMessage lists servers: all of them, or those that changed.
type UpdateMessage struct {
	All       bool              `json:"all"`
	Endpoints []EndpointMessage `json:"targets"`
}

// EndpointMessage is a server as discovery lists it.
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

// State is the endpoint list as received so far. Its zero value is empty. It is not safe for concurrent use.
type State struct {
	revision   uint64
	servers    map[string]fleet.Endpoint
	update     fleet.Update // what the last event that was applied changed
	subscribed bool         // no event was applied since the last subscription
	upToDate   bool         // since then a heartbeat has confirmed that no event is missing
	// retried is set if what follows revision could not be used and was requested once more. It guards against a
	// loop over events that stay unusable, behind which a drain would never be read.
	retried   bool
	retriedAt uint64 // revision at that time
}

// Revision returns the number of the last event that was applied.
func (s *State) Revision() uint64 { return s.revision }

// Subscribed records that all events after Revision were requested.
func (s *State) Subscribed() { s.subscribed, s.upToDate = true, false }

// UpToDate reports whether a heartbeat has confirmed, since the last subscription, that no event is missing.
func (s *State) UpToDate() bool { return s.upToDate }

// retryOnce records that what follows revision can't be used; again is true if it could not be used the last
// time either.
func (s *State) retryOnce() (again bool) {
	again = s.retried && s.retriedAt == s.revision
	s.retried, s.retriedAt = true, s.revision
	return again
}

// HandleLongLine handles a line that is too long for an event. Skip is true if that happened the last time too:
// then the line is skipped, and what follows it is used.
func (s *State) HandleLongLine() (skip bool) { return s.retryOnce() }

// Effect is what a line calls for.
type Effect uint8

// The effects of a line.
const (
	None             Effect = iota
	EndpointsChanged        // the endpoint list changed: call Update
	Resubscribe             // an event is missing: request all after Revision
)

// HandleLine handles a line: an event, a heartbeat (the number of the last event) or an empty one. An error
// means that it can't be used: nothing of it was applied, and all after Revision is to be requested again. If it
// can't be used then either it is skipped, so that what follows is read.
func (s *State) HandleLine(line []byte) (Effect, error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return None, nil
	}
	if line[0] != '{' {
		n, err := strconv.ParseUint(string(line), 10, 64)
		if err != nil {
			return s.unusable(fmt.Errorf("discovery: %q is no number", line[:min(len(line), 40)]))
		}
		if n > s.revision {
			return Resubscribe, nil
		}
		if n == s.revision {
			s.upToDate, s.retried = true, false
		}
		return None, nil
	}
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return s.unusable(fmt.Errorf("discovery: %w", err))
	}
	return s.Apply(e)
}

// unusable returns err the first time that what follows revision can't be used, and nil from then on.
func (s *State) unusable(err error) (Effect, error) {
	if s.retryOnce() {
		return None, nil
	}
	return None, err
}

// Apply applies one event. An older one is ignored. One after a gap is not applied, unless all was requested
// twice and the gap stays: then the server has no events in it.
func (s *State) Apply(e Event) (Effect, error) {
	if e.Revision <= s.revision {
		return None, nil
	}
	if e.Revision > s.revision+1 && s.revision > 0 && (!s.subscribed || !s.retryOnce()) {
		return Resubscribe, nil
	}
	if e.Update != nil {
		if err := e.Update.check(); err != nil {
			effect, err := s.unusable(err)
			if err == nil {
				s.revision, s.subscribed = e.Revision, false
			}
			return effect, err
		}
		s.update = s.apply(e)
	}
	s.revision, s.subscribed = e.Revision, false
	if e.Update == nil {
		return None, nil
	}
	return EndpointsChanged, nil
}

// apply applies the servers of an event and returns what that changed: the full list if the event is the first,
// lists all servers or comes after a gap.
func (s *State) apply(e Event) fleet.Update {
	full := e.Update.All || s.servers == nil || e.Revision > s.revision+1
	if e.Update.All || s.servers == nil {
		s.servers = map[string]fleet.Endpoint{}
	}
	before := make(map[string]fleet.Endpoint, len(e.Update.Endpoints)) // an event may name a server twice
	for _, t := range e.Update.Endpoints {
		if _, seen := before[t.UID]; !seen {
			before[t.UID] = s.servers[t.UID]
		}
		if t.State == "gone" {
			delete(s.servers, t.UID)
			continue
		}
		s.servers[t.UID] = fleet.Endpoint{Name: t.UID, Address: t.Address, State: serverStates[t.State], Zone: t.Zone,
			Cell: strconv.Itoa(t.Cell), Weight: t.Weight, StartedAt: t.StartedAtMS * 1000}
	}
	if full {
		return fleet.Update{Full: true, Endpoints: s.Endpoints()}
	}
	return fleet.Update{Endpoints: s.changed(before)}
}

// changed returns the servers that differ from before, by name.
func (s *State) changed(before map[string]fleet.Endpoint) []fleet.Endpoint {
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
	slices.SortFunc(changed, byName)
	return changed
}

// check returns an error if any part of the update can't be used: then none of it is.
func (u *UpdateMessage) check() error {
	for _, t := range u.Endpoints {
		if _, ok := serverStates[t.State]; !ok || t.UID == "" || t.State != "gone" && t.Address == "" {
			return fmt.Errorf("discovery: server %q at %q in state %q", t.UID, t.Address, t.State)
		}
		if t.StartedAtMS < 0 || t.StartedAtMS > math.MaxInt64/1000 {
			return fmt.Errorf("discovery: server %q started at %d", t.UID, t.StartedAtMS)
		}
	}
	return nil
}

// Restore applies the events of a configuration, up to the first gap: from there on discovery is asked. Update
// returns nothing of them: Endpoints returns the list.
func (s *State) Restore(h History) error {
	defer s.Update()
	for _, e := range h.Events {
		if s.revision > 0 && e.Revision > s.revision+1 {
			break
		}
		if _, err := s.Apply(e); err != nil {
			return err
		}
	}
	return nil
}

// Update returns what the last event that was applied changed, once; no endpoints: nothing.
func (s *State) Update() fleet.Update {
	update := s.update
	s.update = fleet.Update{}
	return update
}

// Endpoints returns the servers by name.
func (s *State) Endpoints() []fleet.Endpoint {
	return slices.SortedFunc(maps.Values(s.servers), byName)
}

func byName(a, b fleet.Endpoint) int { return cmp.Compare(a.Name, b.Name) }
