package platform

import (
	"hollymast/control"
)

// startup is the time until discovery has confirmed the endpoint list. No request is sent to a server before that: the list
// of the configuration may be older than the grace period. Requests that come early are held for a short time, in which
// discovery usually answers, and then rejected, since their deadlines may be shorter than the wait for a crowded discovery
// server. The event loop owns it.
type startup struct {
	pending  bool // the list has not been confirmed
	rejects  bool // early requests are no longer held
	requests []*request
}

// earlyRequestsHeldFor returns how long after the start early requests are held.
func (r *Router) earlyRequestsHeldFor() control.Micros { return r.config.grace / 2 }

// holdEarlyRequest holds a request that came before the list was confirmed, or rejects it.
func (r *Router) holdEarlyRequest(req *request) {
	if r.startup.rejects {
		r.rejectEarlyRequest(req)
		return
	}
	r.startup.requests = append(r.startup.requests, req)
}

func (r *Router) rejectEarlyRequest(req *request) {
	r.recordRequestEnd(req, endRejected, reasonStarting)
	r.finish(req, r.rejection(req.id, req.number))
}

// rejectEarlyRequests rejects the early requests, those held and those to come.
func (r *Router) rejectEarlyRequests() {
	early := r.startup.requests
	r.startup.rejects, r.startup.requests = true, nil
	for _, req := range early {
		if !req.client.hasAbandoned(req) {
			r.rejectEarlyRequest(req)
		}
	}
}

// endStartup makes the router ready and handles the requests held so far.
func (r *Router) endStartup(now control.Micros) {
	early := r.startup.requests
	r.startup = startup{}
	if r.stopRequestedAt == 0 {
		r.ready.Store(true)
	}
	for _, req := range early {
		r.handleRequest(now, req)
	}
}
