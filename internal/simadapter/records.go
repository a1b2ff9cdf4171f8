package simadapter

import (
	"fmt"

	"hollymast/control"
	"hollymast/internal/config"
	"hollymast/internal/core"
	"hollymast/internal/simproto"
)

var results = map[uint16]control.Result{
	10: control.Succeeded, 20: control.Failed, 30: control.Overloaded, 40: control.TimedOut, 50: control.ConnectFailed,
	60: control.ConnectionReset, 70: control.Cancelled, 80: control.NotSent, 90: control.NotLoaded,
}

func resultOf(status uint16) (control.Result, error) {
	if r, ok := results[status]; ok {
		return r, nil
	}
	return 0, fmt.Errorf("unknown status %d", status)
}

// At sets the router that the next records belong to.
func (h *host) SelectRouter(number uint32) error {
	r := h.routers[number]
	if r == nil {
		r = &router{number: number}
		h.routers[number] = r
	}
	if !r.touched {
		r.touched = true
		h.touched = append(h.touched, r)
	}
	h.current = r
	return nil
}

var errNoRouter = fmt.Errorf("record before any at")

// Attach starts a fresh router.
func (h *host) StartRouter(seed uint64, info []byte) error {
	if h.current == nil {
		return errNoRouter
	}
	boot, err := simproto.ReadBootInfo(info)
	if err != nil {
		return err
	}
	told, err := config.Deployment(boot)
	if err != nil {
		return err
	}
	h.current.endRecording()
	number, touched, out := h.current.number, h.current.touched, h.current.out
	*h.current = router{number: number, touched: touched, out: out, fields: boot.Report.Fields,
		workloads: len(boot.Classes)}
	h.current.core = core.New(control.New(h.now, seed, told), h.current)
	return h.record(h.current)
}

// Destroy forgets all that the router held.
func (h *host) StopRouter() error {
	return h.with(func(r *router) error {
		r.endRecording()
		*r = router{number: r.number, touched: r.touched}
		return nil
	})
}

// with runs f on the current router; a record for one that does not run is passed over.
func (h *host) with(f func(r *router) error) error {
	if h.current == nil {
		return errNoRouter
	}
	var err error
	h.current.guard(func() { err = f(h.current) })
	return err
}

// BackendsChanged passes on the list of servers.
func (h *host) UpdateEndpoints(mode uint8, _ uint64, entries []simproto.Endpoint) error {
	kinds := map[uint8]control.UpdateKind{0: control.CachedUpdate, 1: control.FullUpdate, 2: control.IncrementalUpdate,
		3: control.FailedUpdate}
	states := map[uint8]control.ServerState{0: control.Draining, 2: control.Ready, 3: control.Removed}
	kind, ok := kinds[mode]
	if !ok {
		return fmt.Errorf("unknown mode %d", mode)
	}
	list := make([]control.Endpoint, len(entries))
	for i, e := range entries {
		state, ok := states[e.State]
		if !ok {
			return fmt.Errorf("unknown state %d in entry %d", e.State, i)
		}
		list[i] = control.Endpoint{Server: serverID(e.Server), State: state, Zone: control.ZoneID(e.Zone),
			Cell: control.CellID(e.Cell), Weight: float64(e.Weight), StartedAt: control.Micros(e.StartedAt)}
	}
	return h.with(func(r *router) error { r.core.UpdateEndpoints(h.now, kind, list); return nil })
}

// Option bits of an inbound request.
const (
	costTold = 1
	repeats  = 2
)

// Inbound takes a job in hand; it is placed when the batch has been read.
func (h *host) AddRequest(in simproto.Request) error {
	return h.with(func(r *router) error {
		if int(in.Class) >= r.workloads {
			return fmt.Errorf("unknown class %d", in.Class)
		}
		job := control.Request{ID: control.RequestID(in.ID), Class: control.ClassID(in.Class),
			Tenant: control.TenantID(in.Tenant), Function: control.FunctionID(in.Function),
			Lanes: int(in.Lanes), LoadTime: control.Micros(in.LoadMS * 1000),
			ArrivedAt: h.now, Deadline: h.now + control.Micros(in.Timeout), IsRetry: in.Options&repeats != 0}
		if in.Options&costTold != 0 {
			job.Work = control.Micros(in.Work)
		}
		return r.core.Add(h.now, job)
	})
}

// HeadReceived is passed over: the job's answer has begun, but until a verdict says that the job is over it is
// owed a final answer, also where the execution that had begun to answer is called off.
func (h *host) HandleResponseHeader(uint64, uint16, simproto.ServerAddr, uint32) error {
	return h.with(func(*router) error { return nil })
}

// Verdict passes on the end of an execution and does with its job what the module answers.
func (h *host) HandleAttemptResult(v simproto.AttemptResult) error {
	result, err := resultOf(v.Status)
	if err != nil {
		return err
	}
	return h.with(func(r *router) error {
		r.core.HandleOutcome(h.now, control.RequestID(v.ID), control.Outcome{Attempt: control.AttemptID(v.Attempt),
			Server: serverID(v.Server), Result: result, CacheStatus: control.CacheStatus(v.Flags & 7),
			Duration: control.Micros(v.Duration), RequestDone: v.RequestDone, Report: config.Report(r.fields, v.Load)})
		return nil
	})
}

// ClientLeft ends a job that its client no longer wants.
func (h *host) CancelRequest(id uint64) error {
	return h.with(func(r *router) error {
		r.core.Cancel(h.now, control.RequestID(id))
		return nil
	})
}

// TickDue only wakes the router: whatever is due is asked for when the batch has been read.
func (h *host) HandleTimer(uint32) error { return h.with(func(*router) error { return nil }) }

// Probed is passed over: the module asks for no probes.
func (h *host) HandleProbeResult(_ simproto.ServerAddr, status uint16, _ uint32, _ []float32) error {
	if _, err := resultOf(status); err != nil {
		return err
	}
	return h.with(func(*router) error { return nil })
}

// Mail is passed over: routers share nothing.
func (h *host) HandlePeerMessage(uint32, []byte) error {
	return h.with(func(*router) error { return nil })
}

// LoadResult passes on the answer to an order.
func (h *host) HandleLoadResult(s simproto.ServerAddr, function uint64, status uint16, took uint32, held uint8) error {
	result, err := resultOf(status)
	if err != nil {
		return err
	}
	return h.with(func(r *router) error {
		r.core.HandleLoadResult(h.now, serverID(s), control.FunctionID(function), result, control.Micros(took), int(held))
		return nil
	})
}
