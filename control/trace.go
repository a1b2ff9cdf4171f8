package control

// Trace has a tool hear why decisions come out as they do. It decides nothing, and a router without one pays for it with
// a comparison.
type Trace struct {
	OnDecision     func(Explanation)  // after each choice
	OnReplicaCheck func(ReplicaCheck) // at each check of a function with held jobs
	explanation    Explanation
}

// SetTrace sets a trace; nil ends it.
func (r *Balancer) SetTrace(t *Trace) { r.trace = t }

// Explanation is how one choice came out, with what was believed before it. Times are microseconds.
type Explanation struct {
	Now         Micros       `json:"Now"`
	Request     RequestID    `json:"Job"`
	Function    FunctionID   `json:"Function"`
	ExecTime    Micros       `json:"Exec"`     // execution time, told or measured
	Objective   Micros       `json:"Target"`   // start target
	Slack       Micros       `json:"Slack"`    // that is left; negative: late. Like Margin and Last 0 where an execution was out
	Margin      Micros       `json:"Margin"`   // of slack, below which full copies push the job back
	LatestStart Micros       `json:"Last"`     // from then on it can't end within its client's patience
	LoadTime    Micros       `json:"LoadTime"` // told or measured
	B           float64      `json:"B"`        // slots of a lane
	Held        int          `json:"Held"`     // jobs held for the function
	LoadsDue    int          `json:"Due"`      // loads that the last check found needed
	Servers     []ServerView `json:"Servers"`
	Reason      string       `json:"Ended"` // the condition that ended the choice
	Decision    Decision     `json:"Placement"`
}

// ServerView is what was believed of one server, and of the function's copies there.
type ServerView struct {
	Server           ServerID    `json:"Server"`
	State            ServerState `json:"State"`
	Unusable         string      `json:"Barred"` // why the job may not go there; empty if it may
	Known            bool        `json:"Here"`   // something is known of the function's copies there
	Loaded           bool        `json:"Warm"`
	LoadingNow       bool        `json:"Coming"` // a load is under way
	Replicas         int         `json:"Copies"`
	Loading          int         `json:"Loading"`
	InFlight         int         `json:"Out"`   // executions of ours of the function there
	Slots            int         `json:"Slots"` // that the instance offers us
	ConcurrencyLimit float64     `json:"Window"`
	Running          int         `json:"Busy"` // executions of ours there, of any function
	Ejected          bool        `json:"Suspect"`
	Overloaded       bool        `json:"Shunned"`
	PendingLoads     int         `json:"Waiting"` // jobs of ours behind loads there
	SlowStart        bool        `json:"Cold"`
	FreeShare        float64     `json:"Room"` // share of the window that is free
	Report           LoadReport  `json:"Report"`
	ReportAge        Micros      `json:"Fresh"` // age of the report; negative: none
}

// ReplicaCheck is the design's test whether a function needs more copies: it does where delay has reached slack and D_f, held
// x target / slots, the load time.
type ReplicaCheck struct {
	Now       Micros     `json:"Now"`
	Function  FunctionID `json:"Function"`
	Held      int        `json:"Held"`
	Slots     int        `json:"Slots"`
	Loading   int        `json:"Loading"`
	Delay     Micros     `json:"Delay"`
	Slack     Micros     `json:"Slack"`
	Objective Micros     `json:"Target"`
	LoadTime  Micros     `json:"LoadTime"`
}

// QueueDelay is D_f; 0 where there are no slots.
func (c ReplicaCheck) QueueDelay() Micros {
	if c.Slots == 0 {
		return 0
	}
	return Micros(c.Held) * c.Objective / Micros(c.Slots)
}

func (t *Trace) replicaCheck(c ReplicaCheck) {
	if t.OnReplicaCheck != nil {
		t.OnReplicaCheck(c)
	}
}

func (t *Trace) end(p Decision) {
	if t.explanation.Decision = p; t.OnDecision != nil {
		t.OnDecision(t.explanation)
	}
}

// begin notes what is believed before a choice. What it asks for changes nothing.
func (t *Trace) begin(r *Balancer, now Micros, f *function, j *Request) {
	exec := r.execTime(f, j)
	t.explanation = Explanation{Now: now, Request: j.ID, Function: f.id, ExecTime: exec, Objective: r.latencyObjective(j, exec), LoadTime: r.loadTime(j),
		B: r.slotsPerLane(f, j), Held: f.held, LoadsDue: f.loadsDue}
	for _, s := range r.servers {
		b := ServerView{Server: s.Server, State: s.State, Unusable: r.unusableReason(now, s, j), ConcurrencyLimit: s.concurrencyLimit, Running: s.running, Ejected: s.ejected,
			Overloaded: r.overloaded(now, s), PendingLoads: s.pendingLoads(), SlowStart: r.capacity(now, s) < 1, FreeShare: s.freeShare(), Report: s.report, ReportAge: -1}
		if s.reportedAt > 0 {
			b.ReportAge = now - s.reportedAt
		}
		if in := f.instanceOn(s, false); in != nil {
			size := s.concurrencyLimit // slots sets a first window; that is the choice's to do
			b.Known, b.Loaded, b.LoadingNow, b.Replicas, b.Loading, b.InFlight = true, r.loaded(now, in), r.loading(now, in), in.replicas, in.loading, in.inFlight
			b.Slots = r.slots(now, in, f, t.explanation.B)
			s.concurrencyLimit = size
		}
		t.explanation.Servers = append(t.explanation.Servers, b)
	}
}
