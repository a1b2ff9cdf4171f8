package control

// Micros is a point in time or a duration in whole microseconds.
type Micros int64

// Idempotency says whether a request may be attempted again after an attempt that may have run.
type Idempotency uint8

// The levels of idempotency. An idempotent request may run again; one that is idempotent by key may run again only
// where its earlier attempt is remembered (see DedupScope and Class.DedupWindow); a non-idempotent one must not.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// DedupScope is the group of servers that recognize repeats of a request by its idempotency key, and don't run them.
type DedupScope uint8

// The scopes.
const (
	WholeFleet DedupScope = iota
	OneZone
	OneCell
)

// Class holds the settings of one request class.
type Class struct {
	LatencyObjective     Micros      `json:"StartTarget"` // target latency
	MaxDeadline          Micros      `json:"TimeLimit"`   // longest time that a client waits, over all of its retries
	ObjectivePerExecTime float64     `json:"Stretch"`     // the objective grows by this multiple of the execution time
	Idempotency          Idempotency `json:"Effect"`
	DedupScope           DedupScope  `json:"Scope"`  // where an idempotency key is remembered
	DedupWindow          Micros      `json:"Window"` // how long the servers of a scope remember an idempotency key
}

// Deployment is the configuration that a balancer gets when it starts.
type Deployment struct {
	Routers                   int       `json:"Routers"` // number of routers that share the fleet
	RouterIndex               int       `json:"Number"`  // index of this router among them, from 0
	Zone                      ZoneID    `json:"Zone"`
	Tick                      Micros    `json:"Tick"` // shortest interval between steps of the event loop
	Classes                   []Class   `json:"Workloads"`
	Quotas                    []float64 `json:"Shares"`        // by tenant: requests per second, over all routers together
	MaxAttempts               int       `json:"MaxExecutions"` // per request
	MaxRetryAfter             Micros    `json:"MaxStayAway"`   // longest Retry-After that clients heed; 0: they ignore it
	SupportsCancel            bool      `json:"Cancels"`       // servers can cancel attempts
	ClientsMarkRetries        bool      `json:"MarksRepeats"`  // clients mark their retries
	EndpointsNeedSubscription bool      `json:"ListOnRequest"` // the endpoint list must be subscribed to
	SlowStartInitial          float64   `json:"ColdFrom"`      // fraction of its capacity that a server starts with
	SlowStartDuration         Micros    `json:"Cold"`          // time until a started server has full capacity
	OverloadWindow            Micros    `json:"Fall"`          // window of the limit on attempts at servers in slow start
	OverloadFactor            float64   `json:"FallMultiple"`  // that limit, as a multiple of the server's present capacity
	KeepAlive                 Micros    `json:"KeepAlive"`     // shortest time that an idle replica stays loaded
	SupportsLoadCommands      bool      `json:"Orders"`        // servers accept load commands
	LoadRateWindow            Micros    `json:"LoadWindow"`    // window of the load-rate limit; 0: no limit
	LoadRateBase              float64   `json:"LoadFree"`      // load commands allowed per window
	LoadRatePerRequest        float64   `json:"LoadShare"`     // allowed in addition per request admitted within the window
	MaxCommandDelay           Micros    `json:"Late"`          // longest time from choosing a load command to writing it
	LoadsOnMiss               bool      `json:"LoadsOnMiss"`   // servers load a missing function on request
}

// Endpoint is the endpoint list's entry for one server.
type Endpoint struct {
	Server    ServerID    `json:"Server"`
	State     ServerState `json:"State"`
	Zone      ZoneID      `json:"Zone"`
	Cell      CellID      `json:"Cell"`
	Weight    float64     `json:"Power"` // relative size of the server
	StartedAt Micros      `json:"Born"`  // 0: long ago
}

// ServerState is a server's state in the endpoint list.
type ServerState uint8

// The server states.
const (
	Removed ServerState = iota
	Draining
	Ready
)

// UpdateKind is the kind of an update of the endpoint list.
type UpdateKind uint8

// The update kinds: the list that an earlier incarnation of the router saved, the whole list, only the changed
// endpoints, or nothing because the subscription failed.
const (
	CachedUpdate UpdateKind = iota
	FullUpdate
	IncrementalUpdate
	FailedUpdate
)

// Result is how an attempt, a load command or a probe request ended.
type Result uint8

// The results. Overloaded, ConnectFailed, NotSent and NotLoaded prove that the request did not run.
const (
	Succeeded Result = iota
	Failed
	Overloaded
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	NotLoaded
)

// CacheStatus is what a response says about the replica that the request found.
type CacheStatus uint8

// The cache statuses.
const (
	CacheUnknown CacheStatus = iota
	CacheHit
	CacheMiss
	CacheLoading
	CacheLoadFailed
)

// LoadReport is a server's report of its load. A negative value was not reported.
type LoadReport struct {
	Utilization  float64 `json:"Util"`   // fraction of its cores in use
	PendingLoads float64 `json:"Loads"`  // loads running or queued
	PinnedMemory float64 `json:"Pinned"` // fraction of its memory that can't be freed
}

// Outcome is how one attempt ended. It is the input of Balancer.HandleOutcome.
type Outcome struct {
	Attempt     AttemptID   `cbor:"Execution"`
	Server      ServerID    `cbor:"Server"`
	Result      Result      `cbor:"Result"`
	CacheStatus CacheStatus `cbor:"Found"`
	Duration    Micros      `cbor:"Took"`
	RequestDone bool        `cbor:"JobOver"`
	Report      *LoadReport `cbor:"Report"`
}

// Action is what the caller does with a request.
type Action uint8

// The actions. NoAction means that the request is done or an attempt is still in flight. Reject tells the client that
// it may retry safely; Fail does not.
const (
	NoAction Action = iota
	Forward
	Hold
	Reject
	Fail
)

// Decision is the balancer's decision for one request: it is forwarded, held, or ended.
type Decision struct {
	Action       Action        `json:"Verb"`
	Server       ServerID      `json:"Server"`   // of Forward
	Timeout      Micros        `json:"Allow"`    // of Forward: the attempt's timeout
	Rank         Micros        `json:"Rank"`     // of Hold: lower ranks leave first
	RecheckAt    Micros        `json:"Again"`    // of Hold: call Route again at this time at the latest
	RetryAfter   Micros        `json:"StayAway"` // of Reject: advice to the client
	LoadCommands []LoadCommand `json:"Orders"`   // to be sent before the request
	reason       Reason
}

// Reason returns the condition that determined the decision.
func (d Decision) Reason() Reason { return d.reason }

// LoadCommand asks a server to hold a number of replicas of a function. With 0 replicas it only asks how many are
// loaded.
type LoadCommand struct {
	Server   ServerID   `json:"Server"`
	Function FunctionID `json:"Function"`
	Replicas int        `json:"Copies"`
}

// Cancellation names an attempt to cancel.
type Cancellation struct {
	Request RequestID `json:"Job"`
	Attempt AttemptID `json:"Execution"`
}

// Maintenance is the result of Balancer.Maintain: the time of the next call, and what is due now besides requests.
type Maintenance struct {
	Next               Micros
	Cancellations      []Cancellation
	SubscribeEndpoints bool
	ServerEvents       []ServerEvent
}
