package control

import (
	"fmt"
	"slices"
)

// Snapshot is all that a router knows, in plain values: restored, it decides the same from there on. Functions stand in
// the order in which they were first seen, and servers by ascending id; each is named by its place there.
type Snapshot struct {
	Told      Deployment
	Chance    uint64
	Started   Micros
	Servers   []ServerSnapshot
	Functions []FunctionSnapshot
	Execs     []Samples
	Patience  []Samples
	Due       []Micros
	Latencies Samples
	Loads     Samples
	Strain    Samples
	Orders    []Micros
	Taken     []Micros
	Recalls   []Recall
	Notes     []string
	Answers   []Micros
	Rate      float64
	Fresh     Micros
	Waiting   []int // places of functions
	Recent    []int // places of functions
	Tidied    int
	Watching  bool
}

// ServerSnapshot is what is believed of one server.
type ServerSnapshot struct {
	Listing    Listing
	Listed     bool
	Left       Micros
	Heard      Micros
	Flights    []FlightSnapshot
	Sent       []Micros
	Report     Report
	Reported   Micros
	AvoidUntil Micros
	LoadsAfter Micros
	Size       float64
	Busy       int
	Narrowed   Micros
	Strain     Samples
	Suspect    bool
	TrialAt    Micros
	Setbacks   int
	Fulls      int
	Breaks     int
}

// FlightSnapshot is one execution that is out, by its job's id.
type FlightSnapshot struct {
	Job  JobID
	No   ExecutionID
	Sent Micros
	Warm bool
}

// FunctionSnapshot is what is known of one function.
type FunctionSnapshot struct {
	ID        FunctionID
	Lanes     int
	Last      *JobSnapshot
	Due       int
	Instances []InstanceSnapshot
	Execs     Samples
	Delays    Samples
	Turned    Samples
	Held      int
	Waits     bool
	Recent    int
	HeldFrom  Micros
	Blocked   Micros
}

// InstanceSnapshot is a function's copies on one server.
type InstanceSnapshot struct {
	Server  ServerID
	Copies  int
	Used    Micros
	Loading int
	Since   Micros
	Out     int
}

// JobSnapshot is a job with the notes that a router keeps in it.
type JobSnapshot struct {
	Job        Job // Executions left out
	Executions []ExecutionSnapshot
	HeldSince  Micros
	HeldFor    Micros
	Held       bool
	Taken      bool
	Begun      Micros
	Surplus    bool
}

// ExecutionSnapshot is an execution with the notes that a router keeps in it.
type ExecutionSnapshot struct {
	Execution Execution
	Warm      bool
	Recall    bool
}

// Samples are the last few measurements and when they were taken; N counts all there ever were.
type Samples struct {
	V, At []Micros
	N     int
}

func (s *samples) snapshot() Samples {
	n := min(s.n, len(s.v))
	return Samples{slices.Clone(s.v[:n]), slices.Clone(s.at[:n]), s.n}
}

func (s Samples) restore() (r samples) {
	copy(r.v[:], s.V)
	copy(r.at[:], s.At)
	r.n = s.N
	return r
}

// Snapshot gives the job with its notes.
func (j *Job) Snapshot() JobSnapshot {
	s := JobSnapshot{Job: *j, HeldSince: j.heldSince, HeldFor: j.heldFor, Held: j.held, Taken: j.taken, Begun: j.begun, Surplus: j.surplus}
	s.Job.Executions = nil
	for _, e := range j.Executions {
		s.Executions = append(s.Executions, ExecutionSnapshot{e, e.warm, e.recall})
	}
	return s
}

// Restore gives back the job.
func (s JobSnapshot) Restore() Job {
	j := s.Job
	j.heldSince, j.heldFor, j.held, j.taken, j.begun, j.surplus = s.HeldSince, s.HeldFor, s.Held, s.Taken, s.Begun, s.Surplus
	j.Executions = nil
	for _, e := range s.Executions {
		e.Execution.warm, e.Execution.recall = e.Warm, e.Recall
		j.Executions = append(j.Executions, e.Execution)
	}
	return j
}

func many[T, S any](from []T, f func(T) S) []S {
	to := make([]S, 0, len(from))
	for _, t := range from {
		to = append(to, f(t))
	}
	return to
}

func snapshots(s []samples) []Samples {
	to := make([]Samples, len(s))
	for i := range s {
		to[i] = s[i].snapshot()
	}
	return to
}

// Snapshot gives all that the router knows. It shares nothing with the router but the deployment that it was told.
func (r *Router) Snapshot() *Snapshot {
	s := &Snapshot{Told: r.told, Chance: uint64(r.chance), Started: r.started, Execs: snapshots(r.execs),
		Patience: snapshots(r.patience), Due: slices.Clone(r.due), Latencies: r.latencies.snapshot(), Loads: r.loads.snapshot(),
		Strain: r.strain.snapshot(), Orders: slices.Clone(r.orders), Taken: slices.Clone(r.taken), Recalls: slices.Clone(r.recalls),
		Notes: slices.Clone(r.notes), Answers: slices.Clone(r.answers), Rate: r.rate, Fresh: r.fresh, Tidied: r.tidied, Watching: r.watching}
	for _, v := range r.servers {
		s.Servers = append(s.Servers, ServerSnapshot{v.Listing, v.listed, r.lastListed(v), v.heard, many(v.flights, func(f flight) FlightSnapshot {
			return FlightSnapshot{f.job.ID, f.no, f.sent, f.warm}
		}), slices.Clone(v.sent), v.report, v.reported, v.avoidUntil, v.loadsAfter, v.size, v.busy, v.narrowed, v.strain.snapshot(),
			v.suspect, v.trialAt, v.setbacks, v.fulls, v.breaks})
	}
	place := make(map[*function]int, len(r.order))
	for i, f := range r.order {
		place[f] = i
		fs := FunctionSnapshot{ID: f.id, Lanes: f.lanes, Due: f.due, Execs: f.execs.snapshot(), Delays: f.delays.snapshot(), Turned: f.turned.snapshot(), Held: f.held, Waits: f.waits,
			Recent: f.recent, HeldFrom: f.heldFrom, Blocked: f.blocked, Instances: many(f.instances, func(in *instance) InstanceSnapshot {
				return InstanceSnapshot{in.server.Server, in.copies, in.used, in.loading, in.since, in.out}
			})}
		if f.last != nil {
			last := f.last.Snapshot()
			fs.Last = &last
		}
		s.Functions = append(s.Functions, fs)
	}
	at := func(f *function) int { return place[f] }
	s.Recent, s.Waiting = many(r.recent, at), many(r.waiting, at)
	return s
}

// Restore gives a router that knows what the snapshot holds. Jobs are those in hand, by id: the router keeps its notes in
// them. An error tells of a snapshot that does not hold together.
func Restore(s *Snapshot, jobs map[JobID]*Job) (*Router, error) {
	r := &Router{told: s.Told, chance: pcg(s.Chance), started: s.Started, functions: map[FunctionID]*function{},
		due: slices.Clone(s.Due), latencies: s.Latencies.restore(), loads: s.Loads.restore(), strain: s.Strain.restore(),
		orders: slices.Clone(s.Orders), taken: slices.Clone(s.Taken), recalls: slices.Clone(s.Recalls), notes: slices.Clone(s.Notes),
		answers: slices.Clone(s.Answers), rate: s.Rate, fresh: s.Fresh, tidied: s.Tidied, watching: s.Watching,
		execs: many(s.Execs, Samples.restore), patience: many(s.Patience, Samples.restore)}
	if len(r.execs) != len(r.told.Workloads) || len(r.patience) != len(r.told.Workloads) || len(r.due) != len(r.told.Shares) {
		return nil, fmt.Errorf("snapshot: tables do not fit its %d workloads and %d tenants", len(r.told.Workloads), len(r.told.Shares))
	}
	for i, v := range s.Servers {
		if i > 0 && s.Servers[i-1].Listing.Server >= v.Listing.Server {
			return nil, fmt.Errorf("snapshot: servers are not in ascending order at %d", i)
		}
		to := &server{Listing: v.Listing, listed: v.Listed, left: v.Left, heard: v.Heard, sent: slices.Clone(v.Sent), report: v.Report,
			reported: v.Reported, avoidUntil: v.AvoidUntil, loadsAfter: v.LoadsAfter, size: v.Size, busy: v.Busy, narrowed: v.Narrowed,
			strain: v.Strain.restore(), suspect: v.Suspect, trialAt: v.TrialAt, setbacks: v.Setbacks, fulls: v.Fulls, breaks: v.Breaks}
		for _, f := range v.Flights {
			j := jobs[f.Job]
			if j == nil || int(f.No) >= len(j.Executions) {
				return nil, fmt.Errorf("snapshot: execution %d of job %d is out, but not in hand", f.No, f.Job)
			}
			to.flights = append(to.flights, flight{j, f.No, f.Sent, f.Warm})
		}
		r.servers = append(r.servers, to)
	}
	for _, v := range s.Functions {
		f := &function{id: v.ID, lanes: v.Lanes, due: v.Due, execs: v.Execs.restore(), delays: v.Delays.restore(), turned: v.Turned.restore(), held: v.Held, waits: v.Waits, recent: v.Recent,
			heldFrom: v.HeldFrom, blocked: v.Blocked}
		if v.Last != nil {
			if f.last = jobs[v.Last.Job.ID]; f.last == nil {
				last := v.Last.Restore()
				f.last = &last
			}
		}
		for _, in := range v.Instances {
			i, known := r.find(in.Server)
			if !known {
				return nil, fmt.Errorf("snapshot: function %x stands on the unknown server %x", v.ID, in.Server)
			}
			f.instances = append(f.instances, &instance{r.servers[i], in.Copies, in.Used, in.Loading, in.Since, in.Out})
		}
		r.functions[v.ID], r.order = f, append(r.order, f)
	}
	for _, list := range []struct {
		from []int
		to   *[]*function
	}{{s.Recent, &r.recent}, {s.Waiting, &r.waiting}} {
		for _, i := range list.from {
			if i < 0 || i >= len(r.order) {
				return nil, fmt.Errorf("snapshot: a job for function %d of %d", i, len(r.order))
			}
			*list.to = append(*list.to, r.order[i])
		}
	}
	r.reindex()
	return r, nil
}
