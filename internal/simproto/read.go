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
type Server [6]byte

// Entry is one line of the list of model servers.
type Entry struct {
	State   uint8
	Machine uint16
	Power   float32
	Zone    uint16
	Cell    uint16
	Server  Server
	Born    uint64
}

// Inbound is a client's request as it stands on the wire.
type Inbound struct {
	ID       uint64
	Type     uint16
	Tenant   uint16
	Function uint64
	Patience uint32
	Cost     uint32
	MemoryMB float32
	Width    float32
	LoadMS   float32
	Options  uint16
}

// Verdict is the end of one attempt as it stands on the wire.
type Verdict struct {
	ID       uint64
	Note     uint8
	Duration uint32
	Trial    uint16
	Last     bool
	Status   uint16
	Server   Server
	Load     []float32
}

// Listener takes the records of a batch, one call for each, in their order.
type Listener interface {
	At(router uint32) error
	Attach(seed uint64, info []byte) error
	BackendsChanged(mode uint8, version uint64, entries []Entry) error
	Inbound(Inbound) error
	HeadReceived(id uint64, trial uint16, server Server, duration uint32) error
	Verdict(Verdict) error
	ClientLeft(id uint64) error
	TickDue(mark uint32) error
	Probed(server Server, status uint16, duration uint32, load []float32) error
	Mail(from uint32, msg []byte) error
	Destroy() error
	LoadResult(server Server, function uint64, status uint16, duration uint32, held uint8) error
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
func Header(frame []byte) (batch uint32, clock uint64) {
	return binary.BigEndian.Uint32(frame), binary.BigEndian.Uint64(frame[12:])
}

// Walk hands each record of the frame to the listener.
func Walk(frame []byte, l Listener) error {
	batch, _ := Header(frame)
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

func (c *cursor) record(code uint16, l Listener) error {
	var call func() error
	switch code {
	case 1110:
		router := c.u32()
		call = func() error { return l.At(router) }
	case 1000:
		seed, info := c.u64(), c.bytes(int(c.u32()))
		call = func() error { return l.Attach(seed, info) }
	case 1010:
		mode, version, entries := c.u8(), c.u64(), c.entries()
		call = func() error { return l.BackendsChanged(mode, version, entries) }
	case 1020:
		in := Inbound{c.u64(), c.u16(), c.u16(), c.u64(), c.u32(), c.u32(), c.f32(), c.f32(), c.f32(), c.u16()}
		call = func() error { return l.Inbound(in) }
	case 1030:
		id, trial, server, took := c.u64(), c.u16(), c.server(), c.u32()
		call = func() error { return l.HeadReceived(id, trial, server, took) }
	case 1040:
		v := Verdict{c.u64(), c.u8(), c.u32(), c.u16(), c.u8() != 0, c.u16(), c.server(), c.floats()}
		call = func() error { return l.Verdict(v) }
	case 1050:
		id := c.u64()
		call = func() error { return l.ClientLeft(id) }
	case 1060:
		mark := c.u32()
		call = func() error { return l.TickDue(mark) }
	case 1070:
		server, status, took, load := c.server(), c.u16(), c.u32(), c.floats()
		call = func() error { return l.Probed(server, status, took, load) }
	case 1080:
		from, msg := c.u32(), c.bytes(int(c.u16()))
		call = func() error { return l.Mail(from, msg) }
	case 1090:
		call = l.Destroy
	case 1100:
		server, function, status, took, held := c.server(), c.u64(), c.u16(), c.u32(), c.u8()
		call = func() error { return l.LoadResult(server, function, status, took, held) }
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

func (c *cursor) u8() uint8      { return c.fixed(1)[0] }
func (c *cursor) u16() uint16    { return binary.BigEndian.Uint16(c.fixed(2)) }
func (c *cursor) u32() uint32    { return binary.BigEndian.Uint32(c.fixed(4)) }
func (c *cursor) u64() uint64    { return binary.BigEndian.Uint64(c.fixed(8)) }
func (c *cursor) f32() float32   { return math.Float32frombits(c.u32()) }
func (c *cursor) server() Server { return Server(c.fixed(6)) }

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

func (c *cursor) entries() []Entry {
	n := int(c.u32())
	if n > (len(c.buf)-c.at)/entryBytes {
		c.short = true
		return nil
	}
	es := make([]Entry, n)
	for i := range es {
		es[i] = Entry{c.u8(), c.u16(), c.f32(), c.u16(), c.u16(), c.server(), c.u64()}
	}
	return es
}
