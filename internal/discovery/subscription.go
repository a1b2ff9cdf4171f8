package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// Subscription interprets the lines that one watch receives: all events after the revision at which it began. Several
// subscriptions may feed the same State; an event that another one has already applied is ignored.
type Subscription struct {
	state    *State
	applied  bool // an event of this subscription has been applied
	missing  bool // an event is missing that this subscription should have received
	upToDate bool // a heartbeat confirmed that no event is missing
}

// Subscribe returns a subscription to all events after Revision.
func (s *State) Subscribe() *Subscription { return &Subscription{state: s} }

// Applied reports whether an event of this subscription has been applied.
func (s *Subscription) Applied() bool { return s.applied }

// UpToDate reports whether the last heartbeat has confirmed that no event is missing.
func (s *Subscription) UpToDate() bool { return s.upToDate }

// Missing reports whether an event is missing that this subscription should have received. It may still arrive.
func (s *Subscription) Missing() bool { return s.missing }

// HandleLongLine handles a line that is too long for an event. It returns true if the event after the current revision was
// already unusable when it was last sent: the caller must then skip the line and handle the lines after it.
func (s *Subscription) HandleLongLine() (skip bool) { return s.state.recordRetry() }

// HandleLine handles an event, a heartbeat (the revision of the server's last event alone, as a number or as {"rev":N}) or an
// empty line. An error means
// that the line is unusable: nothing of it was applied, and the caller must subscribe again to all events after
// Revision. A line that is unusable again after that is skipped, so that the lines after it are read.
func (s *Subscription) HandleLine(line []byte) (Effect, error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return None, nil
	}
	if line[0] != '{' {
		last, err := strconv.ParseUint(string(line), 10, 64)
		if err != nil {
			return s.state.errorOnce(fmt.Errorf("discovery: heartbeat %q is not a number", line[:min(len(line), 40)]))
		}
		return s.handleHeartbeat(last)
	}
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return s.state.errorOnce(fmt.Errorf("discovery: %w", err))
	}
	if e.Update == nil && hasOneKey(line) {
		return s.handleHeartbeat(e.Revision)
	}
	return s.Apply(e)
}

// hasOneKey reports whether a JSON object has a single key. An event that does not concern the endpoint list has more than
// its revision.
func hasOneKey(object []byte) bool {
	var values map[string]json.RawMessage
	return json.Unmarshal(object, &values) == nil && len(values) == 1
}

// handleHeartbeat handles the revision of the server's last event.
func (s *Subscription) handleHeartbeat(last uint64) (Effect, error) {
	switch {
	case last > s.state.revision:
		return s.eventMissing()
	case last == s.state.revision:
		s.missing, s.upToDate, s.state.retried = false, true, false
	}
	return None, nil
}

// eventMissing records that an event is missing.
func (s *Subscription) eventMissing() (Effect, error) {
	s.missing, s.upToDate = true, false
	return Resubscribe, nil
}

// Apply applies one event and ignores an old one. An event after a gap is applied only if the gap is still there after
// another subscription: then the server has no events for those revisions.
func (s *Subscription) Apply(e Event) (Effect, error) {
	if e.Revision <= s.state.revision {
		return None, nil
	}
	if s.state.isAfterGap(e) && !s.acceptsGap() {
		return s.eventMissing()
	}
	effect, err := s.state.apply(e)
	if err == nil {
		s.applied = true
	}
	return effect, err
}

// acceptsGap reports whether a gap before the next event is final. It is for the first event of a subscription, if an
// earlier subscription had the same gap.
func (s *Subscription) acceptsGap() bool {
	return !s.applied && !s.missing && s.state.recordRetry()
}
