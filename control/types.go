package control

// Micros is a time or a span of time in whole microseconds.
type Micros int64

// Effect tells what a second execution of a job would do.
type Effect uint8

// A restartable job may run again, a fingerprinted one only where its repeat is known, a run-once one never.
const (
	Idempotent Effect = iota
	IdempotentByKey
	NonIdempotent
)

// Scope is the group of servers that drop a fingerprinted job's repeats.
type Scope uint8

// The groups.
const (
	WholeFleet Scope = iota
	OneZone
	OneCell
)

// Class is one row of the table of workloads.
type Class struct {
	LatencyObjective Micros  `json:"StartTarget"`
	MaxDeadline      Micros  `json:"TimeLimit"` // after which a client gives up, all its tries together
	ObjectivePerWork float64 `json:"Stretch"`   // the start target grows by this multiple of the job's own work
	Effect           Effect  `json:"Effect"`
	Scope            Scope   `json:"Scope"`
	Window           Micros  `json:"Window"` // how long a group drops repeats
}

// Deployment holds what a router is told when it starts.
type Deployment struct {
	Routers            int       `json:"Routers"`
	Number             int       `json:"Number"` // ours among them, from 0
	Zone               ZoneID    `json:"Zone"`
	Tick               Micros    `json:"Tick"`
	Classes            []Class   `json:"Workloads"`
	Quotas             []float64 `json:"Shares"` // of each tenant: jobs a second within its share, to all routers together
	MaxAttempts        int       `json:"MaxExecutions"`
	MaxRetryAfter      Micros    `json:"MaxStayAway"` // longest pause a client heeds; 0 where clients take no advice
	SupportsCancel     bool      `json:"Cancels"`
	MarksRetries       bool      `json:"MarksRepeats"` // clients say when they ask again
	EndpointsOnRequest bool      `json:"ListOnRequest"`
	SlowStartInitial   float64   `json:"ColdFrom"` // share of its capacity with which a server starts
	SlowStartDuration  Micros    `json:"Cold"`     // and the time after which it has all of it
	OverloadWindow     Micros    `json:"Fall"`
	OverloadFactor     float64   `json:"FallMultiple"`
	KeepAlive          Micros    `json:"KeepAlive"` // an idle copy stays at least this long
	LoadCommands       bool      `json:"Orders"`
	LoadRateWindow     Micros    `json:"LoadWindow"` // of the ration of orders to load; 0: no ration
	LoadRateBase       float64   `json:"LoadFree"`
	LoadRatePerRequest float64   `json:"LoadShare"`
	MaxCommandDelay    Micros    `json:"Late"`        // how long after it was chosen an order may be written, at most
	LoadsOnMiss        bool      `json:"LoadsOnMiss"` // a job loads its function where it is missing
}

// Endpoint is what the list says of one server.
type Endpoint struct {
	Server    ServerID    `json:"Server"`
	State     ServerState `json:"State"`
	Zone      ZoneID      `json:"Zone"`
	Cell      CellID      `json:"Cell"`
	Weight    float64     `json:"Power"`
	StartedAt Micros      `json:"Born"` // 0: long ago
}

// ServerState is a server's state on the list.
type ServerState uint8

// The states.
const (
	Removed ServerState = iota
	Draining
	Ready
)

// UpdateKind tells what a message about the list holds.
type UpdateKind uint8

// The kinds: what the router had when it last ran, everything, changes only, nothing.
const (
	CachedUpdate UpdateKind = iota
	FullUpdate
	IncrementalUpdate
	FailedUpdate
)

// Result is how an execution, an order or a probe ended.
type Result uint8

// The results. Full, NoConnection, NeverSent and Missing prove that the job did not run.
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

// CacheStatus is what an answer tells of the copy that it met.
type CacheStatus uint8

// The findings.
const (
	CacheUnknown CacheStatus = iota
	CacheHit
	CacheMiss
	CacheLoading
	CacheLoadFailed
)

// LoadReport is a server's load report; a negative value was not reported.
type LoadReport struct {
	Utilization  float64 `json:"Util"`   // share of its cores in use
	PendingLoads float64 `json:"Loads"`  // loads under way or waiting
	PinnedMemory float64 `json:"Pinned"` // share of its memory that can't be freed
}

// Outcome is the end of one execution.
type Outcome struct {
	Attempt     AttemptID   `cbor:"Execution"`
	Server      ServerID    `cbor:"Server"`
	Result      Result      `cbor:"Result"`
	CacheStatus CacheStatus `cbor:"Found"`
	Duration    Micros      `cbor:"Took"`
	RequestDone bool        `cbor:"JobOver"`
	Report      *LoadReport `cbor:"Report"`
}

// Action is what is to be done with a job.
type Action uint8

// The verbs. Nothing: the job is over, or an execution is still out.
const (
	NoAction Action = iota
	Forward
	Hold
	Reject
	Fail
)

// Decision answers where a job goes, or not yet, or never.
type Decision struct {
	Action       Action        `json:"Verb"`
	Server       ServerID      `json:"Server"`   // of Send
	Timeout      Micros        `json:"Allow"`    // of Send: the execution's time-out
	Rank         Micros        `json:"Rank"`     // of Hold: lowest leaves first
	RecheckAt    Micros        `json:"Again"`    // of Hold: ask again then at the latest
	RetryAfter   Micros        `json:"StayAway"` // of PushBack: advice to the client
	LoadCommands []LoadCommand `json:"Orders"`   // to be given before the job goes
}

// LoadCommand tells a server to hold copies of a function; with none it only asks how many stand.
type LoadCommand struct {
	Server   ServerID   `json:"Server"`
	Function FunctionID `json:"Function"`
	Replicas int        `json:"Copies"`
}

// Cancellation names an execution to call off.
type Cancellation struct {
	Request RequestID `json:"Job"`
	Attempt AttemptID `json:"Execution"`
}

// Maintenance answers how long to wait, and what falls due now beside the jobs.
type Maintenance struct {
	Next               Micros
	Cancellations      []Cancellation
	SubscribeEndpoints bool
	LogLines           []string // for the log
}
