package control

// Micros is a time or a span of time in whole microseconds.
type Micros int64

// Each kind of id is a type of its own; none carries a meaning.
type (
	JobID       uint64
	ServerID    uint64
	FunctionID  uint64
	WorkloadID  uint16
	TenantID    uint16
	ZoneID      uint16
	CellID      uint16
	ExecutionID uint16
)

// Effect tells what a second execution of a job would do.
type Effect uint8

// A restartable job may run again, a fingerprinted one only where its repeat is known, a run-once one never.
const (
	Restartable Effect = iota
	Fingerprinted
	RunOnce
)

// Scope is the group of servers that drop a fingerprinted job's repeats.
type Scope uint8

// The groups.
const (
	WholeFleet Scope = iota
	OneZone
	OneCell
)

// Workload is one row of the table of workloads.
type Workload struct {
	StartTarget Micros
	TimeLimit   Micros  // after which a client gives up, all its tries together
	Stretch     float64 // the start target grows by this multiple of the job's own work
	Effect      Effect
	Scope       Scope
	Window      Micros // how long a group drops repeats
}

// RepeatsAnywhere tells whether a job that may have run does no harm if its client sends it again, to whichever router and server.
func (w Workload) RepeatsAnywhere() bool {
	return w.Effect == Restartable || w.Effect == Fingerprinted && w.Scope == WholeFleet
}

// Deployment holds what a router is told when it starts.
type Deployment struct {
	Routers       int
	Number        int // ours among them, from 0
	Zone          ZoneID
	Tick          Micros
	Workloads     []Workload
	Shares        []float64 // of each tenant: jobs a second within its share, to all routers together
	MaxExecutions int
	MaxStayAway   Micros // longest pause a client heeds; 0 where clients take no advice
	Cancels       bool
	MarksRepeats  bool // clients say when they ask again
	ListOnRequest bool
	ColdFrom      float64 // share of its capacity with which a server starts
	Cold          Micros  // and the time after which it has all of it
	Fall          Micros
	FallMultiple  float64
	KeepAlive     Micros // an idle copy stays at least this long
	Orders        bool
	LoadWindow    Micros // of the ration of orders to load; 0: no ration
	LoadFree      float64
	LoadShare     float64
	Late          Micros // how long after it was chosen an order may be written, at most
	LoadsOnMiss   bool   // a job loads its function where it is missing
}

// Listing is what the list says of one server.
type Listing struct {
	Server ServerID
	State  ServerState
	Zone   ZoneID
	Cell   CellID
	Power  float64
	Born   Micros // 0: long ago
}

// ServerState is a server's state on the list.
type ServerState uint8

// The states.
const (
	Gone ServerState = iota
	Draining
	Ready
)

// ListKind tells what a message about the list holds.
type ListKind uint8

// The kinds: what the router had when it last ran, everything, changes only, nothing.
const (
	ListCached ListKind = iota
	ListWhole
	ListChanges
	ListFailed
)

// Result is how an execution, an order or a probe ended.
type Result uint8

// The results. Full, NoConnection, NeverSent and Missing prove that the job did not run.
const (
	Finished Result = iota
	Errored
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	NeverSent
	Missing
)

// Found is what an answer tells of the copy that it met.
type Found uint8

// The findings.
const (
	Untold Found = iota
	FoundWarm
	BeganLoad
	JoinedLoad
	LoadFailed
)

// Report is a server's load report; a negative value was not reported.
type Report struct {
	Util   float64 // share of its cores in use
	Loads  float64 // loads under way or waiting
	Pinned float64 // share of its memory that can't be freed
}

// Outcome is the end of one execution.
type Outcome struct {
	Execution ExecutionID
	Server    ServerID
	Result    Result
	Found     Found
	Took      Micros
	JobOver   bool
	Report    *Report
}

// Job is one client's job, kept by the adapter; the router keeps its notes on the job in it.
type Job struct {
	ID       JobID
	Workload WorkloadID
	Tenant   TenantID
	Function FunctionID
	Lanes    int
	Work     Micros // hint; 0: none
	LoadTime Micros // hint; 0: none
	Arrived  Micros
	Patience Micros // when its client gives up
	Repeat   bool   // the client says that it asks again
	Unmarked bool   // this client never says so, whatever is told of clients

	Executions []Execution
	heldSince  Micros
	heldFor    Micros
	held       bool
	taken      bool
	begun      Micros // when its client first asked
	surplus    bool   // beyond its tenant's share
}

// Execution is one sending of a job.
type Execution struct {
	Server ServerID
	Zone   ZoneID
	Cell   CellID
	Sent   Micros
	Done   bool
	MayRun bool // false once it is proven not to have run
	warm   bool // sent to a copy believed loaded
	recall bool
}

// Verb is what is to be done with a job.
type Verb uint8

// The verbs. Nothing: the job is over, or an execution is still out.
const (
	Nothing Verb = iota
	Send
	Hold
	PushBack
	Kill
)

// Placement answers where a job goes, or not yet, or never.
type Placement struct {
	Verb     Verb
	Server   ServerID // of Send
	Allow    Micros   // of Send: the execution's time-out
	Rank     Micros   // of Hold: lowest leaves first
	Again    Micros   // of Hold: ask again then at the latest
	StayAway Micros   // of PushBack: advice to the client
	Orders   []Order  // to be given before the job goes
}

// Order tells a server to hold copies of a function; with none it only asks how many stand.
type Order struct {
	Server   ServerID
	Function FunctionID
	Copies   int
}

// Recall names an execution to call off.
type Recall struct {
	Job       JobID
	Execution ExecutionID
}

// Upkeep answers how long to wait, and what falls due now beside the jobs.
type Upkeep struct {
	Next      Micros
	Recalls   []Recall
	Subscribe bool
	Notes     []string // for the log
}
