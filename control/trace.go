package control

// Trace has a tool hear why decisions come out as they do. It decides nothing, and a router without one pays for it with
// a comparison.
type Trace struct {
	Placed  func(Why)   // after each choice
	Checked func(Check) // at each check of a function with held jobs
	why     Why
}

// Trace sets a trace; nil ends it.
func (r *Router) Trace(t *Trace) { r.trace = t }

// Why is how one choice came out, with what was believed before it. Times are microseconds.
type Why struct {
	Now       Micros
	Job       JobID
	Function  FunctionID
	Exec      Micros  // execution time, told or measured
	Target    Micros  // start target
	Slack     Micros  // that is left; negative: late. Like Margin and Last 0 where an execution was out
	Margin    Micros  // of slack, below which full copies push the job back
	Last      Micros  // from then on it can't end within its client's patience
	LoadTime  Micros  // told or measured
	B         float64 // slots of a lane
	Held      int     // jobs held for the function
	Due       int     // loads that the last check found needed
	Servers   []Belief
	Ended     string // the condition that ended the choice
	Placement Placement
}

// Belief is what was believed of one server, and of the function's copies there.
type Belief struct {
	Server  ServerID
	State   ServerState
	Barred  string // why the job may not go there; empty if it may
	Here    bool   // something is known of the function's copies there
	Warm    bool
	Coming  bool // a load is under way
	Copies  int
	Loading int
	Out     int // executions of ours of the function there
	Slots   int // that the instance offers us
	Window  float64
	Busy    int // executions of ours there, of any function
	Suspect bool
	Shunned bool
	Waiting int // jobs of ours behind loads there
	Cold    bool
	Room    float64 // share of the window that is free
	Report  Report
	Fresh   Micros // age of the report; negative: none
}

// Check is the design's test whether a function needs more copies: it does where delay has reached slack and D_f, held
// x target / slots, the load time.
type Check struct {
	Now      Micros
	Function FunctionID
	Held     int
	Slots    int
	Loading  int
	Delay    Micros
	Slack    Micros
	Target   Micros
	LoadTime Micros
}

// Df is D_f; 0 where there are no slots.
func (c Check) Df() Micros {
	if c.Slots == 0 {
		return 0
	}
	return Micros(c.Held) * c.Target / Micros(c.Slots)
}

func (t *Trace) check(c Check) {
	if t.Checked != nil {
		t.Checked(c)
	}
}

func (t *Trace) end(p Placement) {
	if t.why.Placement = p; t.Placed != nil {
		t.Placed(t.why)
	}
}

// begin notes what is believed before a choice. What it asks for changes nothing.
func (t *Trace) begin(r *Router, now Micros, f *function, j *Job) {
	exec := r.exec(f, j)
	t.why = Why{Now: now, Job: j.ID, Function: f.id, Exec: exec, Target: r.target(j, exec), LoadTime: r.loadTime(j),
		B: r.perLane(f, j), Held: f.held, Due: f.due}
	for _, s := range r.servers {
		b := Belief{Server: s.Server, State: s.State, Barred: r.barred(now, s, j), Window: s.size, Busy: s.busy, Suspect: s.suspect,
			Shunned: r.shunned(now, s), Waiting: s.waiting(), Cold: r.capacity(now, s) < 1, Room: s.room(), Report: s.report, Fresh: -1}
		if s.reported > 0 {
			b.Fresh = now - s.reported
		}
		if in := f.at(s, false); in != nil {
			size := s.size // slots sets a first window; that is the choice's to do
			b.Here, b.Warm, b.Coming, b.Copies, b.Loading, b.Out = true, r.warm(now, in), r.underWay(now, in), in.copies, in.loading, in.out
			b.Slots = r.slots(now, in, f, t.why.B)
			s.size = size
		}
		t.why.Servers = append(t.why.Servers, b)
	}
}
