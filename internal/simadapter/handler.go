package simadapter

import (
	"errors"
	"fmt"

	"hollymast/control"
	"hollymast/internal/config"
	"hollymast/internal/core"
	"hollymast/internal/simproto"
)

// The simulator's codes: statuses of attempts and loads, modes of endpoint updates, states of endpoints.
var (
	results = map[uint16]control.Result{10: control.Succeeded, 20: control.Failed, 30: control.Overloaded, 40: control.TimedOut,
		50: control.ConnectFailed, 60: control.ConnectionReset, 70: control.Cancelled, 80: control.NotSent, 90: control.NotLoaded}
	updateKinds = map[uint8]control.UpdateKind{0: control.CachedUpdate, 1: control.FullUpdate, 2: control.IncrementalUpdate,
		3: control.FailedUpdate}
	serverStates = map[uint8]control.ServerState{0: control.Draining, 2: control.Ready, 3: control.Removed}
)

// Option bits of a request.
const (
	optionHasWork uint16 = 1
	optionIsRetry uint16 = 2
)

// cacheStatusMask selects the bits of a result's flags that contain the cache status.
const cacheStatusMask = 7

// errNoRouter is the error of a record that comes before any router was selected.
var errNoRouter = errors.New("record before any router was selected")

func resultOf(status uint16) (control.Result, error) {
	if r, ok := results[status]; ok {
		return r, nil
	}
	return 0, fmt.Errorf("unknown status %d", status)
}

// withRouter runs f on the selected router. Records for a router that is not running are ignored.
func (h *host) withRouter(f func(r *router) error) error {
	if h.current == nil {
		return errNoRouter
	}
	var err error
	h.current.runProtected(func() { err = f(h.current) })
	return err
}

// requestStep handles a record that only makes its router take a step after the batch has been read.
func (h *host) requestStep() error {
	return h.withRouter(func(*router) error { return nil })
}

// SelectRouter sets the router that the next records belong to.
func (h *host) SelectRouter(number uint32) error {
	r := h.routers[number]
	if r == nil {
		r = &router{number: number}
		h.routers[number] = r
	}
	if !r.active {
		r.active = true
		h.active = append(h.active, r)
	}
	h.current = r
	return nil
}

// StartRouter starts or restarts the selected router with an empty state.
func (h *host) StartRouter(seed uint64, settings []byte) error {
	if h.current == nil {
		return errNoRouter
	}
	boot, err := simproto.ParseBootInfo(settings)
	if err != nil {
		return err
	}
	deployment, err := config.Deployment(boot)
	if err != nil {
		return err
	}
	r := h.current
	r.closeRecording()
	*r = router{number: r.number, active: r.active, commands: r.commands, reportFields: boot.Report.Fields, classes: len(boot.Classes)}
	r.core = core.New(control.New(h.now, seed, deployment), r)
	return h.beginRecording(r)
}

// StopRouter ends the selected router and discards its state.
func (h *host) StopRouter() error {
	return h.withRouter(func(r *router) error {
		r.closeRecording()
		*r = router{number: r.number, active: r.active}
		return nil
	})
}

// UpdateEndpoints passes the endpoint list, or changes to it, to the core.
func (h *host) UpdateEndpoints(mode uint8, _ uint64, endpoints []simproto.Endpoint) error {
	kind, ok := updateKinds[mode]
	if !ok {
		return fmt.Errorf("unknown mode %d", mode)
	}
	list := make([]control.Endpoint, len(endpoints))
	for i, e := range endpoints {
		state, ok := serverStates[e.State]
		if !ok {
			return fmt.Errorf("unknown state %d in entry %d", e.State, i)
		}
		list[i] = control.Endpoint{Server: serverID(e.Server), State: state, Zone: control.ZoneID(e.Zone),
			Cell: control.CellID(e.Cell), Weight: float64(e.Weight), StartedAt: control.Micros(e.StartedAt)}
	}
	return h.withRouter(func(r *router) error {
		r.core.UpdateEndpoints(h.now, kind, list)
		return nil
	})
}

// AddRequest adds a request, which is routed after the batch has been read.
func (h *host) AddRequest(in simproto.Request) error {
	return h.withRouter(func(r *router) error {
		if int(in.Class) >= r.classes {
			return fmt.Errorf("unknown class %d", in.Class)
		}
		request := control.Request{ID: control.RequestID(in.ID), Class: control.ClassID(in.Class),
			Tenant: control.TenantID(in.Tenant), Function: control.FunctionID(in.Function),
			Lanes: int(in.Lanes), LoadTimeHint: control.Micros(in.LoadMS * 1000),
			ArrivedAt: h.now, Deadline: h.now + control.Micros(in.Timeout), IsRetry: in.Options&optionIsRetry != 0}
		if in.Options&optionHasWork != 0 {
			request.ExecTimeHint = control.Micros(in.Work)
		}
		return r.core.Add(h.now, request)
	})
}

// HandleResponseHeader ignores the start of a response: a request needs a final response until a result says that it is
// done, even if the attempt that had begun to answer is cancelled.
func (h *host) HandleResponseHeader(uint64, uint16, simproto.ServerAddr, uint32) error {
	return h.requestStep()
}

// HandleAttemptResult passes the end of an attempt to the core.
func (h *host) HandleAttemptResult(a simproto.AttemptResult) error {
	result, err := resultOf(a.Status)
	if err != nil {
		return err
	}
	return h.withRouter(func(r *router) error {
		r.core.HandleOutcome(h.now, control.RequestID(a.ID), control.Outcome{Attempt: control.AttemptID(a.Attempt),
			Server: serverID(a.Server), Result: result, CacheStatus: control.CacheStatus(a.Flags & cacheStatusMask),
			Duration: control.Micros(a.Duration), RequestDone: a.RequestDone, Report: config.LoadReport(r.reportFields, a.Load)})
		return nil
	})
}

// CancelRequest ends a request whose client has disconnected.
func (h *host) CancelRequest(id uint64) error {
	return h.withRouter(func(r *router) error {
		r.core.Cancel(h.now, control.RequestID(id))
		return nil
	})
}

// HandleTimer triggers a step, which does whatever is due.
func (h *host) HandleTimer(uint32) error { return h.requestStep() }

// HandleProbeResult ignores the result: the balancer requests no probes.
func (h *host) HandleProbeResult(_ simproto.ServerAddr, status uint16, _ uint32, _ []float32) error {
	if _, err := resultOf(status); err != nil {
		return err
	}
	return h.requestStep()
}

// HandlePeerMessage ignores the message: routers do not communicate.
func (h *host) HandlePeerMessage(uint32, []byte) error { return h.requestStep() }

// HandleLoadResult passes the result of a load command to the core.
func (h *host) HandleLoadResult(server simproto.ServerAddr, function uint64, status uint16, duration uint32, replicas uint8) error {
	result, err := resultOf(status)
	if err != nil {
		return err
	}
	return h.withRouter(func(r *router) error {
		r.core.HandleLoadResult(h.now, serverID(server), control.FunctionID(function), result, control.Micros(duration), int(replicas))
		return nil
	})
}
