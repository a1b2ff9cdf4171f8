// Package simadapter hosts routers behind the simulator's wire: it turns records into calls on each router's core, and
// what the core asks for into records. It decides nothing.
package simadapter

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/program"
	"hollymast/internal/record"
	"hollymast/internal/simproto"
)

// Run answers batches until the input ends. With a folder it records each router's turns there, as a gateway does.
func Run(in io.Reader, out io.Writer, folder string) error {
	h := &host{routers: map[uint32]*router{}, folder: folder}
	defer func() {
		for _, r := range h.routers {
			r.endRecording()
		}
	}()
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var frame, reply []byte
	for {
		var err error
		if frame, err = simproto.ReadFrame(r, frame); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		batch, clock := simproto.ReadHeader(frame)
		parts, err := h.batch(frame, control.Micros(clock))
		if err != nil {
			return err
		}
		reply = simproto.AppendFrame(reply, batch, parts)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// host holds the routers of this process; they share nothing but the frame they are read from.
type host struct {
	routers map[uint32]*router
	folder  string // for recordings; empty: none
	lives   int
	touched []*router // this batch's, in order of their first record
	current *router
	now     control.Micros
}

func (h *host) batch(frame []byte, now control.Micros) ([]*simproto.Commands, error) {
	h.touched, h.current, h.now = h.touched[:0], nil, now
	if err := simproto.Decode(frame, h); err != nil {
		return nil, err
	}
	var parts []*simproto.Commands
	for _, r := range h.touched {
		r.guard(func() { r.core.Step(now) })
		if r.broke != "" {
			parts = append(parts, r.start())
			r.out.ReportFailure(r.broke)
		} else if r.out != nil {
			parts = append(parts, r.out)
		}
		r.out, r.touched = nil, false
	}
	return parts, nil
}

// router is one hosted instance: a core, and the outlet that writes its records.
type router struct {
	number    uint32
	core      *core.Core
	fields    []string // of a load report
	workloads int
	out       *simproto.Commands
	touched   bool
	broke     string
	writer    *record.Writer
}

// record begins a recording of a router that starts.
func (h *host) record(r *router) error {
	if h.folder == "" {
		return nil
	}
	h.lives++
	bounds := record.Limits{SegmentBytes: 64 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 40, WaitForDisk: true} // a day is kept whole
	head := record.Header{Build: program.BuildID(), Router: int(r.number), Incarnation: fmt.Sprintf("%d-%d", r.number, h.lives)}
	var err error
	if r.writer, err = record.Open(h.folder, bounds, head, r.core.Snapshot, zerolog.New(os.Stderr)); err == nil {
		r.core.SetRecorder(r.writer.Recorder())
		r.writer.BeginSegment(h.now)
	}
	return err
}

func (r *router) endRecording() {
	if r.writer != nil {
		r.core.SetRecorder(nil)
		r.writer.Close()
	}
}

func (r *router) start() *simproto.Commands {
	if r.out == nil {
		r.out = &simproto.Commands{}
		r.out.SelectRouter(r.number)
	}
	return r.out
}

// guard turns a panic of the module into the text of a bail_out.
func (r *router) guard(f func()) {
	if r.core == nil || r.broke != "" {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			r.broke = fmt.Sprint("panic: ", p)
		}
	}()
	f()
}

// Forward, PushBack, Kill, CallOff, Order, Subscribe, Note and Alarm write what the core asks for.
func (r *router) Forward(j *control.Request, _ control.AttemptID, to control.ServerID, allow control.Micros) {
	r.start().StartAttempt(uint64(j.ID), address(to), uint32(allow))
}

func (r *router) Reject(id control.RequestID, stayAway control.Micros) {
	r.start().Reject(uint64(id), uint32(stayAway))
}

func (r *router) Fail(id control.RequestID) { r.start().Fail(uint64(id)) }

func (r *router) CancelAttempt(id control.RequestID, no control.AttemptID) {
	r.start().CancelAttempt(uint64(id), uint16(no))
}

func (r *router) Load(_ *control.Request, o control.LoadCommand) {
	r.start().Load(address(o.Server), uint64(o.Function), uint8(o.Replicas))
}

func (r *router) SubscribeEndpoints() { r.start().SubscribeEndpoints(true) }

func (r *router) Log(text string) { r.start().Log(text) }

func (r *router) SetTimer(at control.Micros) { r.start().SetTimer(uint64(at), 0) }

func serverID(s simproto.ServerAddr) control.ServerID {
	return control.ServerID(binary.BigEndian.Uint32(s[:]))<<16 | control.ServerID(binary.BigEndian.Uint16(s[4:]))
}

func address(id control.ServerID) (s simproto.ServerAddr) {
	binary.BigEndian.PutUint32(s[:], uint32(id>>16))
	binary.BigEndian.PutUint16(s[4:], uint16(id))
	return s
}
