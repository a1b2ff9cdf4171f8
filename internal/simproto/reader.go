package simproto

import (
	"encoding/binary"
	"math"
)

// recordReader reads fields one after another. A read past the end sets truncated and returns zeros.
type recordReader struct {
	buf       []byte
	pos       int
	truncated bool
}

// maxFixed is the length of the longest field of fixed size.
const maxFixed = 8

var zeros [maxFixed]byte

// nextBytes returns the next n bytes of the frame without copying them, or nil if fewer are left.
func (r *recordReader) nextBytes(n int) []byte {
	if n < 0 || r.pos+n > len(r.buf) {
		r.truncated = true
		r.pos = len(r.buf)
		return nil
	}
	b := r.buf[r.pos : r.pos+n]
	r.pos += n
	return b
}

func (r *recordReader) nextFixed(n int) []byte {
	if b := r.nextBytes(n); b != nil {
		return b
	}
	return zeros[:n]
}

func (r *recordReader) uint8() uint8       { return r.nextFixed(1)[0] }
func (r *recordReader) uint16() uint16     { return binary.BigEndian.Uint16(r.nextFixed(2)) }
func (r *recordReader) uint32() uint32     { return binary.BigEndian.Uint32(r.nextFixed(4)) }
func (r *recordReader) uint64() uint64     { return binary.BigEndian.Uint64(r.nextFixed(8)) }
func (r *recordReader) float32() float32   { return math.Float32frombits(r.uint32()) }
func (r *recordReader) server() ServerAddr { return ServerAddr(r.nextFixed(len(ServerAddr{}))) }

// bytes returns a copy of the next n bytes, since the frame's buffer is reused.
func (r *recordReader) bytes(n int) []byte { return append([]byte(nil), r.nextBytes(n)...) }

// floats reads a count of one byte and that many numbers.
func (r *recordReader) floats() []float32 {
	n := int(r.uint8())
	if n == 0 {
		return nil
	}
	values := make([]float32, n)
	for i := range values {
		values[i] = r.float32()
	}
	return values
}
