// Package control decides where each request of functions that are loaded on demand goes. The mechanism is Fifer's, as
// docs/design.md tells it. It does no I/O and reads no clock: the caller hands in the time.
//
// A Balancer is told what happens (UpdateEndpoints, HandleOutcome, HandleLoadResult, Cancel) and is asked three things: Route, where
// to forward this request (or not yet, or never); HandleOutcome, what to do after this attempt; Maintain, what falls due now and
// when to ask again. In each step of the event loop the caller asks Route for all requests in hand, lowest Rank first.
//
// Each concern has a file: routing, loading (with ranking and index, which make it cheap in a large fleet), slow start, outliers,
// overload, quotas, retries, endpoints, estimates and maintenance. The values that go in and out are in types.go and requests.go.
package control

// Balancer is the state of one router.
type Balancer struct {
	deployment    Deployment
	random        pcg
	startedAt     Micros
	servers       []*server // by ascending id
	functions     map[FunctionID]*function
	functionOrder []*function // as first seen
	waiting       []*function // for which jobs were held since the last check
	execTimes     []samples   // by workload
	deadlines     []samples   // by workload
	quotaDebt     []Micros    // by tenant: until when its jobs have used up its share
	latencies     samples     // of answers from loaded copies, all servers
	loadTimes     samples     // how long loads took
	queueing      samples     // queueing on all servers, as a server's
	loadCommands  []Micros    // orders to load within the ration's window
	admitted      []Micros    // jobs taken within it
	cancellations []Cancellation
	candidates    []candidate // room for the choice in hand
	logLines      []string
	answers       []Micros // recent ones, of all servers
	answerRate    float64  // see pool
	freshFor      Micros
	recent        []*function // of the last jobs taken
	pruned        int         // functions looked at by tidy, in their order
	subscribed    bool
	index         index
	trace         *Trace // nil but for tools
}

// New gives a router that knows only what it is told.
func New(now Micros, seed uint64, told Deployment) *Balancer {
	return &Balancer{deployment: told, random: pcg(seed), startedAt: now, functions: map[FunctionID]*function{},
		execTimes: make([]samples, len(told.Classes)), deadlines: make([]samples, len(told.Classes)),
		quotaDebt: make([]Micros, len(told.Quotas))}
}
