// Package discovery is the notice board: the list of servers as it tells it, in numbered events, one a line. What a line means
// and when to ask again is plain state (State), free of I/O and clocks; Follower dials and reads.
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

// History is what a configuration holds of the board: all events so far.
type History struct {
	Revision uint64  `json:"rev"`
	Events   []Event `json:"notices"`
}

// Event is one numbered event.
type Event struct {
	Revision uint64         `json:"rev"`
	Update   *UpdateMessage `json:"pool"` // nil: it tells of something else
}

// UpdateMessage tells servers: all of them, or those that changed.
type UpdateMessage struct {
	All     bool              `json:"all"`
	Targets []EndpointMessage `json:"targets"`
}

// EndpointMessage is a server as the board tells it.
type EndpointMessage struct {
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Cell        int     `json:"pod_group"`
	State       string  `json:"state"`
	Weight      float64 `json:"capacity_hint"`
	StartedAtMS int64   `json:"boot_ms"`
}

var states = map[string]control.ServerState{"ready": control.Ready, "draining": control.Draining, "gone": control.Removed}

// State is the list as told so far. Its zero value knows nothing.
type State struct {
	revision   uint64
	servers    map[string]fleet.Endpoint
	update     fleet.Update // of the last event that was taken in
	subscribed bool         // nothing was heard since the last time that we asked
	upToDate   bool         // since then a heartbeat has told that nothing is missing
	// retried is set where what follows Last could not be used: it was asked for once more. Guards against a loop over what
	// stays unusable, behind which a drain would never be heard.
	retried   bool
	retriedAt uint64 // Last at that time
}

// Revision is the number of the last event that was taken in.
func (s *State) Revision() uint64 { return s.revision }

// Subscribed notes that all after Last was asked for.
func (s *State) Subscribed() { s.subscribed, s.upToDate = true, false }

// UpToDate tells whether a heartbeat has told, since all was asked for, that nothing is missing.
func (s *State) UpToDate() bool { return s.upToDate }

// retryOnce notes that what follows Last can't be used; again tells that it could not be the last time either.
func (s *State) retryOnce() (again bool) {
	again = s.retried && s.retriedAt == s.revision
	s.retried, s.retriedAt = true, s.revision
	return again
}

// HandleLongLine takes in a line that is too long to be an event; skip tells that it was so the last time too: what follows it counts.
func (s *State) HandleLongLine() (skip bool) { return s.retryOnce() }

// Effect is what a line calls for.
type Effect uint8

// The meanings.
const (
	None             Effect = iota
	EndpointsChanged        // the list
	Resubscribe             // an event is missing: ask from Last on
)

// HandleLine takes in a line. An error tells that it can't be used: nothing of it was taken in, and all after Last is to be asked for
// again. Where it can't be used then either it is passed over, so that what follows is heard.
func (s *State) HandleLine(line []byte) (Effect, error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return None, nil
	}
	if line[0] != '{' {
		n, err := strconv.ParseUint(string(line), 10, 64)
		if err != nil {
			return s.unusable(fmt.Errorf("notice board: %q is no number", line[:min(len(line), 40)]))
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
		return s.unusable(fmt.Errorf("notice board: %w", err))
	}
	return s.Apply(e)
}

// unusable gives the error the first time that what follows Last can't be used.
func (s *State) unusable(err error) (Effect, error) {
	if s.retryOnce() {
		return None, nil
	}
	return None, err
}

// Apply takes in one event: an older one is passed over, and one after a gap not taken in, unless all was asked for twice and
// the gap stays: then the board has nothing there.
func (s *State) Apply(e Event) (Effect, error) {
	if e.Revision <= s.revision {
		return None, nil
	}
	if e.Revision > s.revision+1 && s.revision > 0 && (!s.subscribed || !s.retryOnce()) {
		return Resubscribe, nil
	}
	if e.Update != nil {
		if err := e.Update.check(); err != nil {
			meaning, err := s.unusable(err)
			if err == nil {
				s.revision, s.subscribed = e.Revision, false
			}
			return meaning, err
		}
		s.update = s.apply(e)
	}
	s.revision, s.subscribed = e.Revision, false
	if e.Update == nil {
		return None, nil
	}
	return EndpointsChanged, nil
}

// apply takes in what an event tells of servers, and gives what that changed: the complete list where it is the first, tells all
// of them or comes after a gap.
func (s *State) apply(e Event) fleet.Update {
	whole := e.Update.All || s.servers == nil || e.Revision > s.revision+1
	if e.Update.All || s.servers == nil {
		s.servers = map[string]fleet.Endpoint{}
	}
	before := make(map[string]fleet.Endpoint, len(e.Update.Targets)) // an event may name a server twice
	for _, t := range e.Update.Targets {
		if _, twice := before[t.UID]; !twice {
			before[t.UID] = s.servers[t.UID]
		}
		if t.State == "gone" {
			delete(s.servers, t.UID)
			continue
		}
		s.servers[t.UID] = fleet.Endpoint{Name: t.UID, Address: t.Endpoint, State: states[t.State], Zone: t.Zone,
			Cell: strconv.Itoa(t.Cell), Weight: t.Weight, StartedAt: t.StartedAtMS * 1000}
	}
	if whole {
		return fleet.Update{Full: true, Endpoints: s.Endpoints()}
	}
	return fleet.Update{Endpoints: s.changed(before)}
}

// changed gives the servers that are not as they were, by name.
func (s *State) changed(before map[string]fleet.Endpoint) []fleet.Endpoint {
	changed := make([]fleet.Endpoint, 0, len(before))
	for uid, was := range before {
		is, listed := s.servers[uid]
		if is == was {
			continue
		}
		if !listed {
			is = was
			is.State = control.Removed
		}
		changed = append(changed, is)
	}
	slices.SortFunc(changed, byName)
	return changed
}

// check keeps an event out whole of which a part can't be used.
func (p *UpdateMessage) check() error {
	for _, t := range p.Targets {
		if _, ok := states[t.State]; !ok || t.UID == "" || t.State != "gone" && t.Endpoint == "" {
			return fmt.Errorf("notice board: server %q at %q in state %q", t.UID, t.Endpoint, t.State)
		}
		if t.StartedAtMS < 0 || t.StartedAtMS > math.MaxInt64/1000 {
			return fmt.Errorf("notice board: server %q started at %d", t.UID, t.StartedAtMS)
		}
	}
	return nil
}

// Restore takes in what a configuration tells, up to the first event that it leaves out: from there on the board is asked. It is no
// news: List gives what is known then.
func (s *State) Restore(k History) error {
	defer s.Update()
	for _, e := range k.Events {
		if s.revision > 0 && e.Revision > s.revision+1 {
			break
		}
		if _, err := s.Apply(e); err != nil {
			return err
		}
	}
	return nil
}

// Update gives what the last event that was taken in changed, once; no entries: nothing.
func (s *State) Update() fleet.Update {
	news := s.update
	s.update = fleet.Update{}
	return news
}

// Endpoints gives the servers by name.
func (s *State) Endpoints() []fleet.Endpoint {
	return slices.SortedFunc(maps.Values(s.servers), byName)
}

func byName(a, b fleet.Endpoint) int { return cmp.Compare(a.Name, b.Name) }
