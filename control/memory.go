package control

import "slices"

// Memory is what a router learned that a later life of it may use, in plain values with the times at which it was
// learned. Unlike a Snapshot it holds nothing that is under way. What of it still counts is decided by Recall.
type Memory struct {
	Saved     Micros           `cbor:"Saved"`
	Started   Micros           `cbor:"Started"`
	Due       []Micros         `cbor:"Due"`    // by tenant
	Orders    []Micros         `cbor:"Orders"` // within the ration's window
	Taken     []Micros         `cbor:"Taken"`
	Answers   []Micros         `cbor:"Answers"`
	Servers   []ServerMemory   `cbor:"Servers"`   // by ascending id
	Functions []FunctionMemory `cbor:"Functions"` // as first seen
}

// ServerMemory is what was learned of one server.
type ServerMemory struct {
	Server ServerID `cbor:"Server"`
	Born   Micros   `cbor:"Born"`
	Sent   []Micros `cbor:"Sent"` // within Deployment.Fall
}

// FunctionMemory is what was learned of one function.
type FunctionMemory struct {
	ID     FunctionID     `cbor:"ID"`
	Lanes  int            `cbor:"Lanes"`
	Copies []CopiesMemory `cbor:"Copies"` // by ascending server
}

// CopiesMemory is a function's copies on one server, as believed.
type CopiesMemory struct {
	Server  ServerID `cbor:"Server"`
	Copies  int      `cbor:"Copies"`
	Used    Micros   `cbor:"Used"`
	Loading int      `cbor:"Loading"`
	Since   Micros   `cbor:"Since"`
}

// Remember gives what is worth keeping. Functions of which no copy is believed are left out. It shares nothing
// with the router.
func (r *Router) Remember(now Micros) *Memory {
	m := &Memory{Saved: now, Started: r.started, Due: slices.Clone(r.due), Orders: slices.Clone(r.orders),
		Taken: slices.Clone(r.taken), Answers: slices.Clone(r.answers)}
	for _, s := range r.servers {
		m.Servers = append(m.Servers, ServerMemory{s.Server, s.Born, slices.Clone(after(s.sent, now-r.told.Fall))})
	}
	for _, f := range r.order {
		v := FunctionMemory{ID: f.id, Lanes: f.lanes}
		for _, in := range f.instances {
			if r.warm(now, in) || r.underWay(now, in) {
				v.Copies = append(v.Copies, CopiesMemory{in.server.Server, in.copies, in.used, in.loading, in.since})
			}
		}
		if len(v.Copies) > 0 {
			m.Functions = append(m.Functions, v)
		}
	}
	return m
}

// Suspects gives the servers that are suspect just now.
func (r *Router) Suspects() map[ServerID]bool {
	suspects := map[ServerID]bool{}
	for _, s := range r.servers {
		if s.suspect {
			suspects[s.Server] = true
		}
	}
	return suspects
}

// notAfter gives ascending times, none of them later than one.
func notAfter(ts []Micros, latest Micros) []Micros {
	ts = slices.Clone(ts)
	for i := range ts {
		ts[i] = min(ts[i], latest)
	}
	slices.Sort(ts)
	return ts
}

// upTo gives ascending times without those later than one.
func upTo(ts []Micros, latest Micros) []Micros {
	ts = slices.DeleteFunc(slices.Clone(ts), func(t Micros) bool { return t > latest })
	slices.Sort(ts)
	return ts
}
