package invariant

// Class describes a class of requests. Requests that are neither non-idempotent nor idempotent by key may run any number of times.
type Class struct {
	NonIdempotent   bool
	IdempotentByKey bool
	Scope           string // which servers share idempotency keys: one of the scopes below
	Window          int64  // how long servers remember a key, in microseconds
}

// The scopes of idempotency keys.
const (
	scopeFleet = "fleet"
	scopeZone  = "zone"
	scopeCell  = "cell"
)

// Config is the configuration of the routers. Times are in microseconds.
type Config struct {
	Classes            map[string]Class
	Zone, Cell         []string // by server
	DrainGrace         int64    // how long a server may still get attempts and load commands after it was published as not ready
	SlowStartDuration  int64
	SlowStartInitial   float64 // share of ServerRate that a server can handle when it has just started
	OverloadWindow     int64   // period in which a server in slow start may get OverloadFactor times the requests it can handle
	OverloadFactor     float64
	ServerRate         float64 // requests per second that a server can handle after slow start
	LoadRateWindow     int64   // period in which a router may send LoadRateBase + LoadRatePerRequest * requests load commands; 0: no limit
	LoadRateBase       float64
	LoadRatePerRequest float64
	MaxNetworkDelay    int64 // between the two ends of a connection
}
