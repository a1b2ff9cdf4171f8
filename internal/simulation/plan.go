package simulation

import (
	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/modelserver"
)

// Class is a class of requests.
type Class struct {
	Name       string
	Spec       control.Class
	Importance float64
}

// Call is an operation that a client wants done. It takes one or more requests.
type Call struct {
	At             control.Micros // since the beginning of the run
	Number         int
	Class          int // index into Plan.Classes
	Function       string
	Timeout        control.Micros
	RetriesBlindly bool // its client retries after a short pause, as if each request were new, until the timeout
	FirstRouter    int  // first router of a client that retries blindly
}

// Incident is a fault that lasts for a time.
type Incident struct {
	Kind          IncidentKind
	At            control.Micros // since the beginning of the run
	Duration      control.Micros
	Targets       []int              // indexes of the affected servers or routers, depending on the kind
	Unreachable   []int              // NetworkPartition: the servers that the targets cannot reach
	Faults        modelserver.Faults // ServerFault
	StoreSlowdown float64            // StoreDegraded: factor of the fetch time, at least 1
	StoreClosed   bool               // StoreDegraded: no fetch ends
}

// IncidentKind is the kind of a fault.
type IncidentKind uint8

// The kinds of incidents.
const (
	ServerFault      IncidentKind = iota // servers have Incident.Faults
	ServerCrash                          // servers crash; at the end they restart in slow start and are published as ready
	ServerDeploy                         // servers drain; at the end they are stopped and restart in slow start
	StoreDegraded                        // the function store is slow or closed
	StaleEndpoints                       // changes of the endpoint list are not published
	RouterStall                          // routers do nothing; pending events wait
	RouterCrash                          // routers crash; at the end they restart without any state
	NetworkPartition                     // some routers cannot reach some servers
)

// Plan describes a run to be simulated.
type Plan struct {
	Seed                 uint64
	Routers              int
	Deployment           control.Deployment // template: Routers, RouterIndex and Zone are set for each router
	Servers              []modelserver.Config
	ServerZones          []control.ZoneID // by server; the server's cell has the same number
	RouterZones          []control.ZoneID // by router
	Classes              []Class
	LanesPerRequest      int
	FetchTime            control.Micros // of one fetch while the store is not degraded
	MaxConcurrentFetches int            // of the store
	Calls                []Call
	Clients              int // that the calls are distributed among; each has its own retry budget and random source
	Incidents            []Incident
	Duration             control.Micros // of the run; calls in flight at its end continue until their timeouts
	AnswerMargin         control.Micros // that routers reserve for the response's way to the client
	OverloadProtection   bool
	EndpointPollInterval control.Micros // maximum delay until a router sees a change of the endpoint list

	// NewPolicy creates a router's policy; nil: the balancer.
	NewPolicy func(now control.Micros, seed uint64, d control.Deployment) core.Policy
}
