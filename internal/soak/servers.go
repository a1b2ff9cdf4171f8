package soak

import (
	"fmt"
	"time"

	"hollymast/internal/discovery"
)

// The states of a server in the endpoint list, as the discovery protocol names them.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// listedServer is a server and its state in the endpoint list.
type listedServer struct {
	*modelServer
	reserved      bool // in use by a fault
	state         string
	announcements int // counts its announcements, so that a delayed one does not override a newer one
}

// endpointMessage returns the server's entry in the endpoint list.
func (s *modelServer) endpointMessage(state string, startedAt time.Time) discovery.EndpointMessage {
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
func (r *run) newServer(speed float64) *listedServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := r.nextServer
	r.nextServer++
	s := &listedServer{modelServer: &modelServer{
		run: r, uid: fmt.Sprintf("s-%d-%d", r.scenario.Seed, number), zone: zoneName(number % r.scenario.Zones), cell: number % 4, speed: speed,
		address: r.hostAddress(serverAddresses, number) + ":0",
	}}
	r.servers = append(r.servers, s)
	return s
}

// startServers starts the initial servers, at full capacity, and announces them.
func (r *run) startServers() error {
	update := discovery.UpdateMessage{All: true}
	for n := range r.scenario.Servers {
		s := r.newServer(r.scenario.speed(n))
		if err := s.listen(time.Time{}); err != nil {
			return err
		}
		s.state = stateReady
		update.Endpoints = append(update.Endpoints, s.endpointMessage(stateReady, time.Time{}))
	}
	r.discovery.publish(update, func(time.Time) {})
	return nil
}

func (r *run) stopServers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.stop()
	}
}

// reserve reserves up to count random servers in a state for a fault; a count of 0 means all.
func (r *run) reserve(count int, state string) []*listedServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reserved []*listedServer
	for _, n := range r.random.Perm(len(r.servers)) {
		s := r.servers[n]
		if s.reserved || s.state != state || count > 0 && len(reserved) == count {
			continue
		}
		s.reserved = true
		reserved = append(reserved, s)
	}
	return reserved
}

// release ends the reservation of servers.
func (r *run) release(servers ...*listedServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range servers {
		s.reserved = false
	}
}

// announce publishes a new state of servers, in one discovery event.
func (r *run) announce(state string, servers ...*listedServer) {
	if len(servers) == 0 {
		return
	}
	var update discovery.UpdateMessage
	numbers := make([]int, len(servers))
	r.mu.Lock()
	for i, s := range servers {
		s.announcements++
		s.state, numbers[i] = state, s.announcements
		s.mu.Lock()
		if state == stateReady {
			s.drainDeadline = time.Time{}
		}
		update.Endpoints = append(update.Endpoints, s.endpointMessage(state, s.startedAt))
		s.mu.Unlock()
	}
	r.mu.Unlock()
	r.discovery.publish(update, func(at time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for i, s := range servers {
			if s.announcements == numbers[i] {
				s.recordAnnounced(state, at)
			}
		}
	})
}

// recordAnnounced records that a state counts as announced as of a time.
func (s *listedServer) recordAnnounced(state string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state == stateReady:
		s.announcedAt = at
	case s.drainDeadline.IsZero():
		s.drainDeadline = at.Add(s.run.scenario.DrainGrace)
	}
}

// announceDelay returns a random delay between the start of a server and its announcement.
func (r *run) announceDelay() time.Duration {
	return 200*time.Millisecond + time.Duration(r.randomFloat()*float64(700*time.Millisecond))
}

// restart starts a new incarnation of a server, in slow start, and announces it.
func (r *run) restart(s *listedServer) {
	if r.trafficEnded() {
		return
	}
	if err := s.listen(time.Now()); err != nil {
		r.ledger.report(time.Now(), RuleNoCrash, "test harness: %s cannot listen again: %v", s.uid, err)
		return
	}
	time.Sleep(r.announceDelay())
	r.announce(stateReady, s)
}

// restartCollapsed restarts a server some time after it collapsed, unless a fault has reserved it.
func (r *run) restartCollapsed(s *modelServer) {
	const downTime = 2 * time.Second
	time.Sleep(downTime)
	r.mu.Lock()
	var server *listedServer
	for _, candidate := range r.servers {
		if candidate.modelServer == s && !candidate.reserved && candidate.state == stateReady {
			server = candidate
			server.reserved = true
		}
	}
	r.mu.Unlock()
	if server != nil {
		r.restart(server)
		r.release(server)
	}
}
