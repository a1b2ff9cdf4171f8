package control

// This file detects outliers: servers that fail or don't answer are ejected, and get a probe request from time to time.

// ejectSilentServers ejects servers whose answers are overdue by more than recent latencies explain, and cancels their
// attempts. It guards against machines that hang or vanish without closing connections. If most busy servers are
// overdue, the cause lies elsewhere and none is ejected.
func (b *Balancer) ejectSilentServers(now Micros) {
	latencyLimit := 4 * quantile(b.latencies.since(0), 0.9)
	if latencyLimit == 0 {
		return
	}
	var silent []*server
	for _, s := range b.index.busy {
		for _, a := range s.inFlight {
			timeout := latencyLimit
			if !a.toLoaded && !s.ejected {
				timeout += 3 * b.loadTime(a.request)
			}
			if now-max(a.sentAt, s.lastAnswer) > timeout {
				silent = append(silent, s)
				break
			}
		}
	}
	if len(silent)*2 > max(2, len(b.index.busy)) {
		return
	}
	for _, s := range silent {
		b.eject(now, s, AnswersOverdue)
		for _, a := range s.inFlight {
			b.cancelAttempt(a.request, a.attempt)
		}
	}
}

// eject marks a server as ejected and schedules its next probe request.
func (b *Balancer) eject(now Micros, s *server, cause EjectionCause) {
	if !s.ejected {
		b.serverEvents = append(b.serverEvents, ServerEvent{s.Server, ServerEjected, cause})
	}
	s.ejected, s.ejections = true, s.ejections+1
	s.probeAt = now + b.probeInterval(s)
	b.index.markImpaired(s)
}

// recordAnswer records an answer from a server, which ends its ejection.
func (b *Balancer) recordAnswer(now Micros, s *server) {
	s.lastAnswer, s.connectionFailures = now, 0
	if s.ejected {
		s.ejected, s.ejections = false, 0
		b.serverEvents = append(b.serverEvents, ServerEvent{Server: s.Server, Kind: ServerReadmitted})
	}
}

// recordConnectionFailure records a broken or refused connection. A failure after a silence, or a second one with no
// answer in between, is taken for a crash: the server is ejected and its replicas are dropped. A single failure may be
// just the network.
func (b *Balancer) recordConnectionFailure(now Micros, s *server) {
	if s.connectionFailures++; s.connectionFailures > 1 || now-s.lastAnswer > quantile(b.latencies.since(0), 0.5) {
		b.eject(now, s, ConnectionsFail)
		b.dropInstances(s, now)
	}
}

// probeInterval returns the time until an ejected server's next probe request. It doubles with each ejection or failed
// probe, up to a limit, and is longer where answers are rare, so that the probes of many routers don't add up. Its base
// is half a second, in which a router with much traffic can spare one request.
func (b *Balancer) probeInterval(s *server) Micros {
	return (500_000 << min(s.ejections, 3)) * max(rareAnswerInterval, b.observationTTL) / rareAnswerInterval
}

// healthy reports whether a server is ready, not ejected, and not rejecting everything.
func (s *server) healthy() bool {
	// A busy server rejects some requests, but hardly three in a row.
	return s.State == Ready && !s.ejected && s.rejections < 3
}

// EjectedServers returns the IDs of the servers that are ejected now.
func (b *Balancer) EjectedServers() map[ServerID]bool {
	ejected := map[ServerID]bool{}
	for s := range b.servers.all {
		if s.ejected {
			ejected[s.Server] = true
		}
	}
	return ejected
}
