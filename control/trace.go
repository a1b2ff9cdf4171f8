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
	Now       Micros     `json:"Now"`
	Job       JobID      `json:"Job"`
	Function  FunctionID `json:"Function"`
	Exec      Micros     `json:"Exec"`     // execution time, told or measured
	Target    Micros     `json:"Target"`   // start target
	Slack     Micros     `json:"Slack"`    // that is left; negative: late. Like Margin and Last 0 where an execution was out
	Margin    Micros     `json:"Margin"`   // of slack, below which full copies push the job back
	Last      Micros     `json:"Last"`     // from then on it can't end within its client's patience
	LoadTime  Micros     `json:"LoadTime"` // told or measured
	B         float64    `json:"B"`        // slots of a lane
	Held      int        `json:"Held"`     // jobs held for the function
	Due       int        `json:"Due"`      // loads that the last check found needed
	Servers   []Belief   `json:"Servers"`
	Ended     string     `json:"Ended"` // the condition that ended the choice
	Placement Placement  `json:"Placement"`
}

// Belief is what was believed of one server, and of the function's copies there.
type Belief struct {
	Server  ServerID    `json:"Server"`
	State   ServerState `json:"State"`
	Barred  string      `json:"Barred"` // why the job may not go there; empty if it may
	Here    bool        `json:"Here"`   // something is known of the function's copies there
	Warm    bool        `json:"Warm"`
	Coming  bool        `json:"Coming"` // a load is under way
	Copies  int         `json:"Copies"`
	Loading int         `json:"Loading"`
	Out     int         `json:"Out"`   // executions of ours of the function there
	Slots   int         `json:"Slots"` // that the instance offers us
	Window  float64     `json:"Window"`
	Busy    int         `json:"Busy"` // executions of ours there, of any function
	Suspect bool        `json:"Suspect"`
	Shunned bool        `json:"Shunned"`
	Waiting int         `json:"Waiting"` // jobs of ours behind loads there
	Cold    bool        `json:"Cold"`
	Room    float64     `json:"Room"` // share of the window that is free
	Report  Report      `json:"Report"`
	Fresh   Micros      `json:"Fresh"` // age of the report; negative: none
}

// Check is the design's test whether a function needs more copies: it does where delay has reached slack and D_f, held
// x target / slots, the load time.
type Check struct {
	Now      Micros     `json:"Now"`
	Function FunctionID `json:"Function"`
	Held     int        `json:"Held"`
	Slots    int        `json:"Slots"`
	Loading  int        `json:"Loading"`
	Delay    Micros     `json:"Delay"`
	Slack    Micros     `json:"Slack"`
	Target   Micros     `json:"Target"`
	LoadTime Micros     `json:"LoadTime"`
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
