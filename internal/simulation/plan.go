package simulation

import (
	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/modelserver"
)

// Class is one class of requests.
type Class struct {
	Name       string
	Spec       control.Class
	Importance float64
}

// Call is one effect that a client wants, in one request or several.
type Call struct {
	At             control.Micros // since the beginning of the day
	Number         int
	Class          int // index into Plan.Classes
	Function       string
	Timeout        control.Micros
	RetriesBlindly bool // its client repeats it at once, as if it were new, until the timeout
	FirstRouter    int  // that a client that retries blindly begins with
}

// Incident is something that goes wrong for a time.
type Incident struct {
	Kind          IncidentKind
	At            control.Micros // since the beginning of the day
	Duration      control.Micros
	Targets       []int              // indexes of servers or routers, by the kind
	Unreachable   []int              // NetworkPartition: the servers that the targets don't reach
	Faults        modelserver.Faults // ServerFault
	StoreSlowdown float64            // StoreDegraded: multiplies the time of fetches; below 1: 1
	StoreClosed   bool               // StoreDegraded
}

// IncidentKind is what goes wrong.
type IncidentKind uint8

// The kinds of incidents.
const (
	ServerFault      IncidentKind = iota // servers fail in the incident's ways
	ServerCrash                          // servers crash; they come back in slow start, and the endpoint list says so
	ServerDeploy                         // servers drain, are stopped at the end and come back in slow start
	StoreDegraded                        // the store is slow or closed
	StaleEndpoints                       // the endpoint list is not written
	RouterStall                          // routers stall
	RouterCrash                          // routers crash and restart, with nothing known
	NetworkPartition                     // some routers don't reach some servers
)

// Plan is a day to be simulated.
type Plan struct {
	Seed                 uint64
	Routers              int
	Deployment           control.Deployment // Routers, Number and Zone are set for each router
	Servers              []modelserver.Config
	ServerZones          []control.ZoneID // by server; its cell has the same number
	RouterZones          []control.ZoneID // by router
	Classes              []Class
	LanesPerRequest      int
	FetchTime            control.Micros // of a store that is not degraded
	MaxConcurrentFetches int            // that the store serves
	Calls                []Call
	Clients              int // that the calls are dealt to, each with a retry budget and a random source of its own
	Incidents            []Incident
	Duration             control.Micros // of the day; calls in flight then have until their timeouts
	AnswerMargin         control.Micros // that routers keep for an answer's way to the client
	OverloadProtection   bool
	EndpointPollInterval control.Micros // at most, until a router sees a change of the endpoint list

	// NewPolicy returns a router's policy; nil: the balancer.
	NewPolicy func(now control.Micros, seed uint64, d control.Deployment) core.Policy
}
