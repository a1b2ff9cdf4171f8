// Package simadapter runs routers on the simulator's frames: it translates records into calls on each router's core,
// and the core's executor calls into commands. It makes no decisions.
package simadapter

import (
	"bufio"
	"errors"
	"io"

	"hollymast/control"
	"hollymast/internal/simproto"
)

// bufferBytes is the size of the input and output buffers, which most batches fit into.
const bufferBytes = 1 << 16

// Run answers batches until the input ends. If recordDir is not empty, it records each router's steps there, as a
// gateway does. It returns an error if reading or writing fails or a record is invalid; a panic of the decision code is
// reported to the simulator instead.
func Run(in io.Reader, out io.Writer, recordDir string) error {
	h := &host{routers: map[uint32]*router{}, recordDir: recordDir}
	defer h.closeRecordings()
	r, w := bufio.NewReaderSize(in, bufferBytes), bufio.NewWriterSize(out, bufferBytes)
	var frame, reply []byte
	for {
		var err error
		if frame, err = simproto.ReadFrame(r, frame); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		batch, clock := simproto.ParseHeader(frame)
		parts, err := h.runBatch(frame, control.Micros(clock))
		if err != nil {
			return err
		}
		reply = simproto.EncodeFrame(reply, batch, parts)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// host holds the routers of this process, which share no state but the current frame.
type host struct {
	routers    map[uint32]*router
	recordDir  string    // empty: nothing is recorded
	recordings int       // number of recordings begun so far
	active     []*router // routers with a record in this batch, in the order of their first record
	current    *router   // the router that the next records belong to
	now        control.Micros
}

// runBatch handles a batch's records and then takes one step of each router that had a record.
func (h *host) runBatch(frame []byte, now control.Micros) ([]*simproto.Commands, error) {
	h.active, h.current, h.now = h.active[:0], nil, now
	if err := simproto.Decode(frame, h); err != nil {
		return nil, err
	}
	var parts []*simproto.Commands
	for _, r := range h.active {
		r.runProtected(func() { r.core.Step(now) })
		if r.failure != "" {
			parts = append(parts, r.output())
			r.commands.ReportFailure(r.failure)
		} else if r.commands != nil {
			parts = append(parts, r.commands)
		}
		r.commands, r.active = nil, false
	}
	return parts, nil
}

func (h *host) closeRecordings() {
	for _, r := range h.routers {
		r.closeRecording()
	}
}
