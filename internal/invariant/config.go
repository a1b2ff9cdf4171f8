package invariant

// Class is what the check has to know of a class of requests. Requests that are neither non-idempotent nor idempotent by key
// may run any number of times.
type Class struct {
	NonIdempotent   bool
	IdempotentByKey bool
	Scope           string // of the keys: one of the scopes
	Window          int64  // microseconds for which servers remember a key
}

// Which servers share idempotency keys.
const (
	scopeFleet = "fleet"
	scopeZone  = "zone"
	scopeCell  = "cell"
)

// Config is what routers were configured with. Times are microseconds.
type Config struct {
	Classes            map[string]Class
	Zone, Cell         []string // by server
	DrainGrace         int64    // for which a server may still get something new after it was published as not ready
	SlowStartDuration  int64
	SlowStartInitial   float64 // the share of ServerRate that a server bears when it has started
	OverloadWindow     int64   // in which a server in slow start may get OverloadFactor times what it bears
	OverloadFactor     float64
	ServerRate         float64 // requests per second that a server bears after slow start
	LoadRateWindow     int64   // in which a router may send LoadRateBase load commands, and LoadRatePerRequest for each request; 0: no limit
	LoadRateBase       float64
	LoadRatePerRequest float64
	MaxNetworkDelay    int64 // between the two ends of a connection
}
