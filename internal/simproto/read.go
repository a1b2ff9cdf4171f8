// Package simproto reads and writes the frames that the simulator speaks.
// It knows the layout of each record and nothing of what the records mean.
package simproto

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// Server is a model server's address and port as they stand on the wire.
type ServerAddr [6]byte

// Entry is one line of the list of model servers.
type Endpoint struct {
	State     uint8
	Machine   uint16
	Weight    float32
	Zone      uint16
	Cell      uint16
	Server    ServerAddr
	StartedAt uint64
}

// Inbound is a client's request as it stands on the wire.
type Request struct {
	ID       uint64
	Class    uint16
	Tenant   uint16
	Function uint64
	Timeout  uint32
	Work     uint32
	MemoryMB float32
	Lanes    float32
	LoadMS   float32
	Options  uint16
}

// Verdict is the end of one attempt as it stands on the wire.
type AttemptResult struct {
	ID          uint64
	Flags       uint8
	Duration    uint32
	Attempt     uint16
	RequestDone bool
	Status      uint16
	Server      ServerAddr
	Load        []float32
}

// Listener takes the records of a batch, one call for each, in their order.
type Handler interface {
	SelectRouter(router uint32) error
	StartRouter(seed uint64, info []byte) error
	UpdateEndpoints(mode uint8, version uint64, entries []Endpoint) error
	AddRequest(Request) error
	HandleResponseHeader(id uint64, trial uint16, server ServerAddr, duration uint32) error
	HandleAttemptResult(AttemptResult) error
	CancelRequest(id uint64) error
	HandleTimer(mark uint32) error
	HandleProbeResult(server ServerAddr, status uint16, duration uint32, load []float32) error
	HandlePeerMessage(from uint32, msg []byte) error
	StopRouter() error
	HandleLoadResult(server ServerAddr, function uint64, status uint16, duration uint32, held uint8) error
}

// maxFrame bounds what a broken length field can make us allocate.
const maxFrame = 1 << 30

const batchHeader = 20

// ReadFrame reads one whole frame; io.EOF means that the input ended between frames.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	var head [8]byte
	if n, err := io.ReadFull(r, head[:]); err == io.EOF {
		return nil, io.EOF
	} else if err != nil {
		return nil, fmt.Errorf("frame header cut short after %d bytes", n)
	}
	size := binary.BigEndian.Uint32(head[4:])
	if size < batchHeader || size > maxFrame {
		return nil, fmt.Errorf("batch %d: frame length %d out of range", binary.BigEndian.Uint32(head[:]), size)
	}
	if cap(buf) < int(size) {
		buf = make([]byte, size)
	}
	buf = buf[:size]
	copy(buf, head[:])
	if n, err := io.ReadFull(r, buf[8:]); err != nil {
		return nil, fmt.Errorf("batch %d: frame cut short at byte %d of %d", binary.BigEndian.Uint32(head[:]), n+8, size)
	}
	return buf, nil
}

// Header gives a frame's batch number and clock.
func ReadHeader(frame []byte) (batch uint32, clock uint64) {
	return binary.BigEndian.Uint32(frame), binary.BigEndian.Uint64(frame[12:])
}

// Walk hands each record of the frame to the listener.
func Decode(frame []byte, l Handler) error {
	batch, _ := ReadHeader(frame)
	c := &cursor{buf: frame, at: batchHeader}
	count := binary.BigEndian.Uint32(frame[8:])
	for i := uint32(0); i < count; i++ {
		start := c.at
		code := c.u16()
		err := c.record(code, l)
		if c.short {
			return fmt.Errorf("batch %d: record %d (code %d) at byte %d is cut short", batch, i, code, start)
		}
		if err != nil {
			return fmt.Errorf("batch %d: record %d (code %d) at byte %d: %w", batch, i, code, start, err)
		}
	}
	if c.at != len(frame) {
		return fmt.Errorf("batch %d: %d bytes left over after the last record", batch, len(frame)-c.at)
	}
	return nil
}

func (c *cursor) record(code uint16, l Handler) error {
	var call func() error
	switch code {
	case 1110:
		router := c.u32()
		call = func() error { return l.SelectRouter(router) }
	case 1000:
		seed, info := c.u64(), c.bytes(int(c.u32()))
		call = func() error { return l.StartRouter(seed, info) }
	case 1010:
		mode, version, entries := c.u8(), c.u64(), c.entries()
		call = func() error { return l.UpdateEndpoints(mode, version, entries) }
	case 1020:
		in := Request{c.u64(), c.u16(), c.u16(), c.u64(), c.u32(), c.u32(), c.f32(), c.f32(), c.f32(), c.u16()}
		call = func() error { return l.AddRequest(in) }
	case 1030:
		id, trial, server, took := c.u64(), c.u16(), c.server(), c.u32()
		call = func() error { return l.HandleResponseHeader(id, trial, server, took) }
	case 1040:
		v := AttemptResult{c.u64(), c.u8(), c.u32(), c.u16(), c.u8() != 0, c.u16(), c.server(), c.floats()}
		call = func() error { return l.HandleAttemptResult(v) }
	case 1050:
		id := c.u64()
		call = func() error { return l.CancelRequest(id) }
	case 1060:
		mark := c.u32()
		call = func() error { return l.HandleTimer(mark) }
	case 1070:
		server, status, took, load := c.server(), c.u16(), c.u32(), c.floats()
		call = func() error { return l.HandleProbeResult(server, status, took, load) }
	case 1080:
		from, msg := c.u32(), c.bytes(int(c.u16()))
		call = func() error { return l.HandlePeerMessage(from, msg) }
	case 1090:
		call = l.StopRouter
	case 1100:
		server, function, status, took, held := c.server(), c.u64(), c.u16(), c.u32(), c.u8()
		call = func() error { return l.HandleLoadResult(server, function, status, took, held) }
	default:
		if c.short {
			return nil
		}
		return fmt.Errorf("unknown record code")
	}
	if c.short {
		return nil
	}
	return call()
}

// cursor reads fields one after another; a read past the end sets short and yields zeros.
type cursor struct {
	buf   []byte
	at    int
	short bool
}

var zeros [8]byte

func (c *cursor) take(n int) []byte {
	if n < 0 || c.at+n > len(c.buf) {
		c.short = true
		c.at = len(c.buf)
		return nil
	}
	b := c.buf[c.at : c.at+n]
	c.at += n
	return b
}

func (c *cursor) fixed(n int) []byte {
	if b := c.take(n); b != nil {
		return b
	}
	return zeros[:n]
}

func (c *cursor) u8() uint8          { return c.fixed(1)[0] }
func (c *cursor) u16() uint16        { return binary.BigEndian.Uint16(c.fixed(2)) }
func (c *cursor) u32() uint32        { return binary.BigEndian.Uint32(c.fixed(4)) }
func (c *cursor) u64() uint64        { return binary.BigEndian.Uint64(c.fixed(8)) }
func (c *cursor) f32() float32       { return math.Float32frombits(c.u32()) }
func (c *cursor) server() ServerAddr { return ServerAddr(c.fixed(6)) }

func (c *cursor) bytes(n int) []byte { return append([]byte(nil), c.take(n)...) }

func (c *cursor) floats() []float32 {
	n := int(c.u8())
	if n == 0 {
		return nil
	}
	vs := make([]float32, n)
	for i := range vs {
		vs[i] = c.f32()
	}
	return vs
}

const entryBytes = 25

func (c *cursor) entries() []Endpoint {
	n := int(c.u32())
	if n > (len(c.buf)-c.at)/entryBytes {
		c.short = true
		return nil
	}
	es := make([]Endpoint, n)
	for i := range es {
		es[i] = Endpoint{c.u8(), c.u16(), c.f32(), c.u16(), c.u16(), c.server(), c.u64()}
	}
	return es
}
