package control

// Outliers: servers that fail or fall silent are ejected, and probed now and then.

// ejectSilentServers looks for servers that owe answers for longer than recent ones explain. Guards against machines that
// hang or vanish without a word; where most owe alike the cause lies elsewhere, and none is suspected.
func (r *Balancer) ejectSilentServers(now Micros) {
	limit := 4 * quantile(r.latencies.since(0), 0.9)
	if limit == 0 {
		return
	}
	var silent []*server
	for _, s := range r.index.busy {
		for _, fl := range s.inFlight {
			allowed := limit
			if !fl.toLoaded && !s.ejected {
				allowed += 3 * r.loadTime(fl.request)
			}
			if now-max(fl.sentAt, s.lastAnswer) > allowed {
				silent = append(silent, s)
				break
			}
		}
	}
	if len(silent)*2 > max(2, len(r.index.busy)) {
		return
	}
	for _, s := range silent {
		r.eject(now, s, "owes answers")
		for _, fl := range s.inFlight {
			r.cancelAttempt(fl.request, fl.attempt)
		}
	}
}

func (r *Balancer) eject(now Micros, s *server, why string) {
	if !s.ejected {
		r.logf("server %x is suspect: %s", s.Server, why)
	}
	s.ejected, s.ejections = true, s.ejections+1
	s.probeAt = now + r.probeInterval(s)
	r.index.markQuestionable(s)
}

func (r *Balancer) answered(now Micros, s *server) {
	s.lastAnswer, s.connectionFailures = now, 0
	if s.ejected {
		s.ejected, s.ejections = false, 0
		r.logf("server %x answers again", s.Server)
	}
}

// connectionFailed takes in a broken or refused connection. Guards against crashes: one after a silence, or a second
// with no answer between, makes a suspect, which holds nothing when it is back. One alone is a flaky network.
func (r *Balancer) connectionFailed(now Micros, s *server) {
	if s.connectionFailures++; s.connectionFailures > 1 || now-s.lastAnswer > quantile(r.latencies.since(0), 0.5) {
		r.eject(now, s, "connections fail")
		r.dropInstances(s, now)
	}
}

// probeInterval is how long a suspect gets no job: longer each time that it fails, and where answers are rare:
// else many routers' trials add up. From half a second: a router with many jobs can spare one in that.
func (r *Balancer) probeInterval(s *server) Micros {
	return (500_000 << min(s.ejections, 3)) * max(rareAnswers, r.freshFor) / rareAnswers
}

// healthy tells whether a server is there, and neither suspect nor turning all away.
func (s *server) healthy() bool {
	return s.State == Ready && !s.ejected && s.rejections < 3 // refusals or errors in a row; a busy server takes some
}

// EjectedServers gives the servers that are suspect just now.
func (r *Balancer) EjectedServers() map[ServerID]bool {
	suspects := map[ServerID]bool{}
	for _, s := range r.servers {
		if s.ejected {
			suspects[s.Server] = true
		}
	}
	return suspects
}
