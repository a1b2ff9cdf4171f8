package invariant

// Workload is what a judge knows of one.
type Class struct {
	NonIdempotent   bool
	IdempotentByKey bool
	Scope           string // fleet, zone or cell
	Window          int64
}

// Law is what the rules' figures were for the day, and what the judge may not know better than to a travel time.
type Config struct {
	Classes            map[string]Class
	Zone, Cell         []string // by server
	DrainGrace         int64
	SlowStartDuration  int64
	SlowStartInitial   float64
	OverloadWindow     int64
	OverloadFactor     float64
	ServerRate         float64 // jobs a second that a warm server bears
	LoadRateWindow     int64   // 0: no ration
	LoadRateBase       float64
	LoadRatePerRequest float64
	MaxNetworkDelay    int64 // between the ends of a wire, at most
}
