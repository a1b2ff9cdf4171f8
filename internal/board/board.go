// Package board is the notice board: the list of servers as it tells it, in numbered events, one a line. What a line means
// and when to ask again is plain state (State), free of I/O and clocks; Follower dials and reads.
package board

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

// Known is what a configuration holds of the board: all events so far.
type Known struct {
	Rev     uint64  `json:"rev"`
	Notices []Event `json:"notices"`
}

// Event is one numbered event.
type Event struct {
	Rev  uint64 `json:"rev"`
	Pool *Pool  `json:"pool"` // nil: it tells of something else
}

// Pool tells servers: all of them, or those that changed.
type Pool struct {
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is a server as the board tells it.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Power    float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

var states = map[string]control.ServerState{"ready": control.Ready, "draining": control.Draining, "gone": control.Gone}

// State is the list as told so far. Its zero value knows nothing.
type State struct {
	last    uint64
	servers map[string]fleet.Entry
	news    fleet.Update // of the last event that was taken in
	asked   bool         // nothing was heard since the last time that we asked
	level   bool         // since then a heartbeat has told that nothing is missing
	// doubted is set where what follows Last could not be used: it was asked for once more. Guards against a loop over what
	// stays unusable, behind which a drain would never be heard.
	doubted   bool
	doubtedAt uint64 // Last at that time
}

// Last is the number of the last event that was taken in.
func (s *State) Last() uint64 { return s.last }

// Asked notes that all after Last was asked for.
func (s *State) Asked() { s.asked, s.level = true, false }

// Level tells whether a heartbeat has told, since all was asked for, that nothing is missing.
func (s *State) Level() bool { return s.level }

// doubt notes that what follows Last can't be used; again tells that it could not be the last time either.
func (s *State) doubt() (again bool) {
	again = s.doubted && s.doubtedAt == s.last
	s.doubted, s.doubtedAt = true, s.last
	return again
}

// TooLong takes in a line that is too long to be an event; skip tells that it was so the last time too: what follows it counts.
func (s *State) TooLong() (skip bool) { return s.doubt() }

// Meaning is what a line calls for.
type Meaning uint8

// The meanings.
const (
	Nothing  Meaning = iota
	Changed          // the list
	AskAgain         // an event is missing: ask from Last on
)

// Line takes in a line. An error tells that it can't be used: nothing of it was taken in, and all after Last is to be asked for
// again. Where it can't be used then either it is passed over, so that what follows is heard.
func (s *State) Line(line []byte) (Meaning, error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return Nothing, nil
	}
	if line[0] != '{' {
		n, err := strconv.ParseUint(string(line), 10, 64)
		if err != nil {
			return s.unusable(fmt.Errorf("notice board: %q is no number", line[:min(len(line), 40)]))
		}
		if n > s.last {
			return AskAgain, nil
		}
		if n == s.last {
			s.level, s.doubted = true, false
		}
		return Nothing, nil
	}
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return s.unusable(fmt.Errorf("notice board: %w", err))
	}
	return s.Event(e)
}

// unusable gives the error the first time that what follows Last can't be used.
func (s *State) unusable(err error) (Meaning, error) {
	if s.doubt() {
		return Nothing, nil
	}
	return Nothing, err
}

// Event takes in one event: an older one is passed over, and one after a gap not taken in, unless all was asked for twice and
// the gap stays: then the board has nothing there.
func (s *State) Event(e Event) (Meaning, error) {
	if e.Rev <= s.last {
		return Nothing, nil
	}
	if e.Rev > s.last+1 && s.last > 0 && (!s.asked || !s.doubt()) {
		return AskAgain, nil
	}
	if e.Pool != nil {
		if err := e.Pool.check(); err != nil {
			meaning, err := s.unusable(err)
			if err == nil {
				s.last, s.asked = e.Rev, false
			}
			return meaning, err
		}
		s.news = s.take(e)
	}
	s.last, s.asked = e.Rev, false
	if e.Pool == nil {
		return Nothing, nil
	}
	return Changed, nil
}

// take takes in what an event tells of servers, and gives what that changed: the complete list where it is the first, tells all
// of them or comes after a gap.
func (s *State) take(e Event) fleet.Update {
	whole := e.Pool.All || s.servers == nil || e.Rev > s.last+1
	if e.Pool.All || s.servers == nil {
		s.servers = map[string]fleet.Entry{}
	}
	before := make(map[string]fleet.Entry, len(e.Pool.Targets)) // an event may name a server twice
	for _, t := range e.Pool.Targets {
		if _, twice := before[t.UID]; !twice {
			before[t.UID] = s.servers[t.UID]
		}
		if t.State == "gone" {
			delete(s.servers, t.UID)
			continue
		}
		s.servers[t.UID] = fleet.Entry{Name: t.UID, Address: t.Endpoint, State: states[t.State], Zone: t.Zone,
			Cell: strconv.Itoa(t.Cell), Power: t.Power, Born: t.BootMS * 1000}
	}
	if whole {
		return fleet.Update{Whole: true, Entries: s.List()}
	}
	return fleet.Update{Entries: s.differing(before)}
}

// differing gives the servers that are not as they were, by name.
func (s *State) differing(before map[string]fleet.Entry) []fleet.Entry {
	changed := make([]fleet.Entry, 0, len(before))
	for uid, was := range before {
		is, listed := s.servers[uid]
		if is == was {
			continue
		}
		if !listed {
			is = was
			is.State = control.Gone
		}
		changed = append(changed, is)
	}
	slices.SortFunc(changed, byName)
	return changed
}

// check keeps an event out whole of which a part can't be used.
func (p *Pool) check() error {
	for _, t := range p.Targets {
		if _, ok := states[t.State]; !ok || t.UID == "" || t.State != "gone" && t.Endpoint == "" {
			return fmt.Errorf("notice board: server %q at %q in state %q", t.UID, t.Endpoint, t.State)
		}
		if t.BootMS < 0 || t.BootMS > math.MaxInt64/1000 {
			return fmt.Errorf("notice board: server %q started at %d", t.UID, t.BootMS)
		}
	}
	return nil
}

// Known takes in what a configuration tells, up to the first event that it leaves out: from there on the board is asked. It is no
// news: List gives what is known then.
func (s *State) Known(k Known) error {
	defer s.News()
	for _, e := range k.Notices {
		if s.last > 0 && e.Rev > s.last+1 {
			break
		}
		if _, err := s.Event(e); err != nil {
			return err
		}
	}
	return nil
}

// News gives what the last event that was taken in changed, once; no entries: nothing.
func (s *State) News() fleet.Update {
	news := s.news
	s.news = fleet.Update{}
	return news
}

// List gives the servers by name.
func (s *State) List() []fleet.Entry { return slices.SortedFunc(maps.Values(s.servers), byName) }

func byName(a, b fleet.Entry) int { return cmp.Compare(a.Name, b.Name) }
