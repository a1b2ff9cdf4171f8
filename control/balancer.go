// Package control decides where each request for an on-demand loaded function goes. The algorithm is Fifer's; see
// docs/design.md. The package does no I/O and reads no clock: callers pass the current time in microseconds.
//
// A caller reports events to a [Balancer] (UpdateEndpoints, HandleOutcome, HandleLoadResult, Cancel) and asks it
// for three decisions: Route, whether a request is forwarded, held or ended; HandleOutcome, what follows an
// attempt; and Maintain, which periodic work is due and when to call it next. In each event-loop iteration the
// caller passes every pending request to Route, lowest Rank first.
//
// Each concern has a file of its own: routing, loading, slow start, outliers, overload, quotas, retries, endpoints,
// estimates and maintenance. Ranking, homes, index and serverlist keep the costs low in a large fleet. The types of
// inputs and decisions are in types.go and requests.go.
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
	quotaDebt      []Micros    // by tenant: the time at which its admitted requests are back within its quota
	latencies      samples     // of answers from loaded replicas, all servers
	loadTimes      samples     // load durations
	queueing       samples     // queueing on all servers, in the same unit as server.queueing
	loadCommands   []Micros    // load commands within the load-rate window
	admitted       []Micros    // requests admitted within the load-rate window
	cancellations  []Cancellation
	candidates     []candidate // scratch space, reused between decisions
	deviations     []deviation // scratch space, too
	serverEvents   []ServerEvent
	answers        []Micros // recent answers, from all ready servers
	answerRate     float64  // answers per second that we get from one server at full capacity, see updateAnswerRate
	observationTTL Micros
	// The capacity over the time of answers.
	capacityHistory capacityHistory
	recentFunctions []*function // functions of the most recently admitted requests
	pruneCursor     int         // where prune continues in functionOrder
	subscribed      bool
	index           index
	trace           *Trace // nil except in diagnostic tools
}

// New returns a Balancer for the given deployment. It knows no servers until UpdateEndpoints is called; seed
// determines its random choices.
func New(now Micros, seed uint64, config Deployment) *Balancer {
	return &Balancer{deployment: config, random: pcg(seed), startedAt: now, functions: map[FunctionID]*function{},
		execTimes: make([]samples, len(config.Classes)), timeouts: make([]samples, len(config.Classes)),
		quotaDebt: make([]Micros, len(config.Quotas)), capacityHistory: capacityHistory{asOf: now}}
}
