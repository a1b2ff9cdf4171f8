package simadapter

import (
	"encoding/binary"
	"fmt"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
	"hollymast/internal/simproto"
)

// router is one simulated router: a core, and the core.Executor that writes its commands. If core is nil, the router is
// not running.
type router struct {
	number       uint32
	core         *core.Core
	reportFields []string // meaning of the values in a load report
	classes      int
	commands     *simproto.Commands // of this batch; nil if there are none yet
	active       bool               // the router had a record in this batch
	failure      string             // the panic that ended the router; empty if there was none
	recording    *record.Writer
}

// output returns the commands of this batch, to append to.
func (r *router) output() *simproto.Commands {
	if r.commands == nil {
		r.commands = &simproto.Commands{}
		r.commands.SelectRouter(r.number)
	}
	return r.commands
}

// runProtected calls f if the router is running. A panic of the decision code becomes the router's failure instead of
// ending the simulation.
func (r *router) runProtected(f func()) {
	if r.core == nil || r.failure != "" {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			r.failure = fmt.Sprint("panic: ", p)
		}
	}()
	f()
}

// Forward starts an attempt.
func (r *router) Forward(request *control.Request, _ control.AttemptID, to control.ServerID, timeout control.Micros) {
	r.output().StartAttempt(uint64(request.ID), serverAddr(to), uint32(timeout))
}

// Reject ends a request that its client may retry.
func (r *router) Reject(id control.RequestID, retryAfter control.Micros, _ control.Reason) {
	r.output().Reject(uint64(id), uint32(retryAfter))
}

// Fail ends a request as failed.
func (r *router) Fail(id control.RequestID, _ control.Reason) { r.output().Fail(uint64(id)) }

// CancelAttempt cancels an attempt.
func (r *router) CancelAttempt(id control.RequestID, attempt control.AttemptID) {
	r.output().CancelAttempt(uint64(id), uint16(attempt))
}

// Load sends a load command.
func (r *router) Load(_ *control.Request, command control.LoadCommand) {
	r.output().Load(serverAddr(command.Server), uint64(command.Function), uint8(command.Replicas))
}

// SubscribeEndpoints subscribes to changes of the endpoint list.
func (r *router) SubscribeEndpoints() { r.output().SubscribeEndpoints() }

// LogServerEvent writes a line for the simulator's report.
func (r *router) LogServerEvent(event control.ServerEvent) { r.output().Log(event.String()) }

// SetTimer requests a timer record for the given time, which triggers a step.
func (r *router) SetTimer(at control.Micros) { r.output().SetTimer(uint64(at), 0) }

// serverID packs an address and port into the balancer's server ID; serverAddr is its inverse.
func serverID(addr simproto.ServerAddr) control.ServerID {
	return control.ServerID(binary.BigEndian.Uint32(addr[:]))<<16 | control.ServerID(binary.BigEndian.Uint16(addr[4:]))
}

func serverAddr(id control.ServerID) (addr simproto.ServerAddr) {
	binary.BigEndian.PutUint32(addr[:], uint32(id>>16))
	binary.BigEndian.PutUint16(addr[4:], uint16(id))
	return addr
}
