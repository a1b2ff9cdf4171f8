package soak

import (
	"fmt"
	"time"

	"hollymast/internal/discovery"
)

// The states of a server in the endpoint list, by the platform's protocol.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// serverSlot is a server with its place in the endpoint list.
type serverSlot struct {
	*modelServer
	busy     bool // a fault has it
	state    string
	sequence int // of its announcements: a late one does not replace a newer one
}

// target returns how discovery lists a server.
func (s *modelServer) target(state string, startedAt time.Time) discovery.EndpointMessage {
	message := discovery.EndpointMessage{UID: s.uid, Address: s.address, Zone: s.zone, Cell: s.cell, Weight: 1, State: state}
	if s.run.scenario.WeightedEndpoints {
		message.Weight = s.speed * float64(s.run.scenario.Cores)
	}
	if !startedAt.IsZero() {
		message.StartedAtMS = startedAt.UnixMilli()
	}
	return message
}

// newServer adds a server to the run; it does not listen yet.
func (r *run) newServer(speed float64) *serverSlot {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := r.nextServer
	r.nextServer++
	s := &serverSlot{modelServer: &modelServer{
		run: r, uid: fmt.Sprintf("s-%d-%d", r.scenario.Seed, number), zone: zoneName(number % r.scenario.Zones), cell: number % 4, speed: speed,
		address: r.hostAddress(hostServers, number) + ":0",
	}}
	r.servers = append(r.servers, s)
	return s
}

// startServers starts the servers that have long run, and announces them.
func (r *run) startServers() error {
	update := discovery.UpdateMessage{All: true}
	for n := range r.scenario.Servers {
		s := r.newServer(r.scenario.speed(n))
		if err := s.listen(time.Time{}); err != nil {
			return err
		}
		s.state = stateReady
		update.Endpoints = append(update.Endpoints, s.target(stateReady, time.Time{}))
	}
	r.discovery.publish(update, func(time.Time) {})
	return nil
}

// stopServers ends all servers.
func (r *run) stopServers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.stop()
	}
}

// take reserves up to count servers in a state for a fault; 0 takes all.
func (r *run) take(count int, state string) []*serverSlot {
	r.mu.Lock()
	defer r.mu.Unlock()
	var taken []*serverSlot
	for _, n := range r.random.Perm(len(r.servers)) {
		s := r.servers[n]
		if s.busy || s.state != state || count > 0 && len(taken) == count {
			continue
		}
		s.busy = true
		taken = append(taken, s)
	}
	return taken
}

// giveBack ends the reservation of servers.
func (r *run) giveBack(servers ...*serverSlot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range servers {
		s.busy = false
	}
}

// announce tells routers the state of servers, in one event.
func (r *run) announce(state string, servers ...*serverSlot) {
	if len(servers) == 0 {
		return
	}
	var update discovery.UpdateMessage
	sequences := make([]int, len(servers))
	r.mu.Lock()
	for i, s := range servers {
		s.sequence++
		s.state, sequences[i] = state, s.sequence
		s.mu.Lock()
		if state == stateReady {
			s.closedFor = time.Time{}
		}
		update.Endpoints = append(update.Endpoints, s.target(state, s.startedAt))
		s.mu.Unlock()
	}
	r.mu.Unlock()
	r.discovery.publish(update, func(at time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for i, s := range servers {
			if s.sequence == sequences[i] {
				s.noteAnnounced(state, at)
			}
		}
	})
}

// noteAnnounced records that a state counts as announced.
func (s *serverSlot) noteAnnounced(state string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state == stateReady:
		s.told = at
	case s.closedFor.IsZero():
		s.closedFor = at.Add(s.run.scenario.DrainGrace)
	}
}

// announceAfter is how long a server that has started takes to be announced.
func (r *run) announceAfter() time.Duration {
	return 200*time.Millisecond + time.Duration(r.chance()*float64(700*time.Millisecond))
}

// restart starts a server anew, in slow start, and announces it.
func (r *run) restart(s *serverSlot) {
	if r.trafficOver() {
		return
	}
	if err := s.listen(time.Now()); err != nil {
		r.ledger.report(time.Now(), RuleNoCrash, "the run itself: %s can't listen again: %v", s.uid, err)
		return
	}
	time.Sleep(r.announceAfter())
	r.announce(stateReady, s)
}

// returnFallen has a server that fell start again after a while.
func (r *run) returnFallen(s *modelServer) {
	const downFor = 2 * time.Second
	time.Sleep(downFor)
	r.mu.Lock()
	var slot *serverSlot
	for _, candidate := range r.servers {
		if candidate.modelServer == s && !candidate.busy && candidate.state == stateReady {
			slot = candidate
			slot.busy = true
		}
	}
	r.mu.Unlock()
	if slot != nil {
		r.restart(slot)
		r.giveBack(slot)
	}
}
