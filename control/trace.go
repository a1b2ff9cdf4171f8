package control

// Trace lets a tool observe how decisions are made. It has no influence on them; without a trace the only cost is a nil
// check.
type Trace struct {
	OnDecision     func(Explanation)  // after each decision of Route
	OnReplicaCheck func(ReplicaCheck) // at each replica check of a function with held or shed requests
	explanation    Explanation
}

// SetTrace installs a trace; nil removes it.
func (b *Balancer) SetTrace(t *Trace) { b.trace = t }

// Explanation is how one decision came about, with the state before it. Times are in microseconds. Slack, Margin and
// LatestStart are 0 if an attempt was in flight.
type Explanation struct {
	Now         Micros       `json:"Now"`
	Request     RequestID    `json:"Job"`
	Function    FunctionID   `json:"Function"`
	ExecTime    Micros       `json:"Exec"`     // execution time: hint or estimate
	Objective   Micros       `json:"Target"`   // latency objective
	Slack       Micros       `json:"Slack"`    // what is left of it; negative: late
	Margin      Micros       `json:"Margin"`   // slack below which a request is rejected if all replicas are full
	LatestStart Micros       `json:"Last"`     // a later start can't end before the client's deadline
	LoadTime    Micros       `json:"LoadTime"` // hint or estimate
	B           float64      `json:"B"`        // slots per lane
	Held        int          `json:"Held"`     // requests held for the function
	LoadsDue    int          `json:"Due"`      // loads that the last replica check asked for
	Servers     []ServerView `json:"Servers"`
	Reason      Reason       `json:"Ended"` // the condition that decided
	Decision    Decision     `json:"Placement"`
}

// ServerView is what the balancer believed of one server, and of the function's replicas there.
type ServerView struct {
	Server           ServerID       `json:"Server"`
	State            ServerState    `json:"State"`
	Unusable         UnusableReason `json:"Barred"`
	HasInstance      bool           `json:"Here"` // the function has an instance there, loaded or not
	Loaded           bool           `json:"Warm"`
	IsLoading        bool           `json:"Coming"` // a load is running
	Replicas         int            `json:"Copies"`
	Loading          int            `json:"Loading"`
	InFlight         int            `json:"Out"`   // attempts of this router there, for the function
	Slots            int            `json:"Slots"` // that the instance offers this router
	ConcurrencyLimit float64        `json:"Window"`
	Running          int            `json:"Busy"` // attempts of this router that execute there, for any function
	Ejected          bool           `json:"Suspect"`
	Overloaded       bool           `json:"Shunned"`
	PendingLoads     int            `json:"Waiting"` // functions of this router that load there, see server.pendingLoads
	SlowStart        bool           `json:"Cold"`
	FreeShare        float64        `json:"Room"` // free fraction of the concurrency limit
	Report           LoadReport     `json:"Report"`
	ReportAge        Micros         `json:"Fresh"` // negative: no report
}

// ReplicaCheck is a test of whether a function needs more replicas: it does if Delay has reached Slack and D_f, Held x
// Objective / Slots, has reached LoadTime.
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

// QueueDelay returns D_f; 0 if there are no slots.
func (c ReplicaCheck) QueueDelay() Micros {
	if c.Slots == 0 {
		return 0
	}
	return Micros(c.Held) * c.Objective / Micros(c.Slots)
}

// replicaCheck passes a replica check to OnReplicaCheck.
func (t *Trace) replicaCheck(c ReplicaCheck) {
	if t.OnReplicaCheck != nil {
		t.OnReplicaCheck(c)
	}
}

// end completes the explanation and passes it to OnDecision.
func (t *Trace) end(d Decision) {
	if t.explanation.Decision = d; t.OnDecision != nil {
		t.OnDecision(t.explanation)
	}
}

// begin starts the explanation with the state before the decision. It must not change any state.
func (t *Trace) begin(b *Balancer, now Micros, f *function, req *Request) {
	exec := b.execTime(f, req)
	t.explanation = Explanation{
		Now:       now,
		Request:   req.ID,
		Function:  f.id,
		ExecTime:  exec,
		Objective: b.latencyObjective(req, exec),
		LoadTime:  b.loadTime(req),
		B:         b.slotsPerLane(f, req),
		Held:      f.held,
		LoadsDue:  f.loadsDue,
	}
	for s := range b.servers.all {
		t.explanation.Servers = append(t.explanation.Servers, t.view(b, now, s, f, req))
	}
}

// view returns the balancer's view of a server. It must not change any state.
func (t *Trace) view(b *Balancer, now Micros, s *server, f *function, req *Request) ServerView {
	view := ServerView{
		Server:           s.Server,
		State:            s.State,
		Unusable:         b.unusableReason(now, s, req),
		ConcurrencyLimit: s.concurrencyLimit,
		Running:          s.running,
		Ejected:          s.ejected,
		Overloaded:       b.overloaded(now, s),
		PendingLoads:     s.pendingLoads(),
		SlowStart:        b.capacity(now, s) < 1,
		FreeShare:        s.freeShare(),
		Report:           s.report,
		ReportAge:        -1,
	}
	if s.reportedAt > 0 {
		view.ReportAge = now - s.reportedAt
	}
	if inst := f.instanceOn(s, false); inst != nil {
		limit := s.concurrencyLimit // slots sets an initial limit, which only the decision itself may do
		view.HasInstance, view.Loaded, view.IsLoading = true, b.loaded(now, inst), b.loading(now, inst)
		view.Replicas, view.Loading, view.InFlight = inst.replicas, inst.loading, inst.inFlight
		view.Slots = b.slots(now, inst, f, t.explanation.B)
		s.concurrencyLimit = limit
	}
	return view
}
