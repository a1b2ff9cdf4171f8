// Package control decides which server each request for an on-demand loaded function is sent to. It implements the
// Fifer algorithm as docs/design.md describes it. The package does no I/O and reads no clock: callers pass the current
// time in microseconds.
//
// A caller reports events to a [Balancer] (UpdateEndpoints, HandleOutcome, HandleLoadResult, Cancel) and asks it
// for three decisions: Route, whether a request is forwarded, held or ended; HandleOutcome, what follows an
// attempt; and Maintain, which periodic work is due and when to call it next. In each step of the event loop the
// caller passes every pending request to Route, lowest Rank first.
//
// Each concern has its own file: routing, loading, slow start, outliers, overload, quotas, retries, endpoints,
// estimates and maintenance. The files ranking, homes, index and serverlist keep decisions cheap in large fleets. The
// types of inputs and decisions are in types.go and requests.go.
package control

// Balancer holds the routing state of one router. It is not safe for concurrent use: one event loop owns it.
type Balancer struct {
	deployment     Deployment
	random         pcg
	startedAt      Micros
	servers        serverList
	functions      map[FunctionID]*function
	functionOrder  []*function // in order of first use
	pendingChecks  []*function // functions with requests held or shed since the last replica check
	execTimes      []samples   // by class
	timeouts       []samples   // by class: time from arrival to deadline
	quotaDebt      []Micros    // by tenant: when its quota covers all requests admitted so far
	latencies      samples     // of answers from loaded replicas, all servers
	loadTimes      samples     // load durations
	queueing       samples     // queueing on all servers, in the same unit as server.queueing
	loadCommands   []Micros    // load commands within the load-rate window
	admitted       []Micros    // requests admitted within the load-rate window
	cancellations  []Cancellation
	candidates     []candidate // scratch space, reused between decisions
	deviations     []deviation // scratch space, likewise
	serverEvents   []ServerEvent
	answers        []Micros // times of recent answers from ready servers
	answerRate     float64  // answers per second that this router gets from a server at full capacity, see updateAnswerRate
	observationTTL Micros   // how long an observation of a server stays valid, see updateAnswerRate
	// Capacity of the ready servers over the time in which answers are counted.
	capacityHistory capacityHistory
	recentFunctions []*function // functions of the most recently admitted requests
	pruneCursor     int         // position in functionOrder at which prune continues
	subscribed      bool
	index           index
	trace           *Trace // nil except in diagnostic tools
}

// New returns a Balancer for the given deployment. It knows no servers until UpdateEndpoints is called; seed
// determines its random choices.
func New(now Micros, seed uint64, deployment Deployment) *Balancer {
	return &Balancer{deployment: deployment, random: pcg(seed), startedAt: now, functions: map[FunctionID]*function{},
		execTimes: make([]samples, len(deployment.Classes)), timeouts: make([]samples, len(deployment.Classes)),
		quotaDebt: make([]Micros, len(deployment.Quotas)), capacityHistory: capacityHistory{asOf: now}}
}
