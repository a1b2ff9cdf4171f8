// Package simproto reads and writes the frames that the simulator speaks: a header, and records of fixed layouts, all numbers
// big-endian. It knows the layout of each record and nothing of what the records mean.
package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// The layout of a frame's header, in bytes: batch number (4), length of the whole frame (4), number of records (4), and, in frames
// from the simulator only, its clock in microseconds (8).
const (
	offsetLength  = 4
	offsetCount   = 8
	offsetClock   = 12
	requestHeader = 20
	commandHeader = 12
)

// maxFrame bounds what a corrupt length field can make us allocate, in bytes.
const maxFrame = 1 << 30

// ErrTruncated is wrapped by the errors of frames and records that end before all of their fields.
var ErrTruncated = errors.New("cut short")

// ReadFrame reads one whole frame, into buf where it is large enough; io.EOF means that the input ended between frames.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	var head [offsetCount]byte
	if n, err := io.ReadFull(r, head[:]); errors.Is(err, io.EOF) {
		return nil, io.EOF
	} else if err != nil {
		return nil, fmt.Errorf("frame header %w after %d bytes", ErrTruncated, n)
	}
	batch, size := binary.BigEndian.Uint32(head[:]), binary.BigEndian.Uint32(head[offsetLength:])
	if size < requestHeader || size > maxFrame {
		return nil, fmt.Errorf("batch %d: frame length %d out of range", batch, size)
	}
	if cap(buf) < int(size) {
		buf = make([]byte, size)
	}
	buf = buf[:size]
	copy(buf, head[:])
	if n, err := io.ReadFull(r, buf[len(head):]); err != nil {
		return nil, fmt.Errorf("batch %d: frame %w at byte %d of %d", batch, ErrTruncated, n+len(head), size)
	}
	return buf, nil
}

// ParseHeader returns a frame's batch number, and its clock in microseconds.
func ParseHeader(frame []byte) (batch uint32, clock uint64) {
	return binary.BigEndian.Uint32(frame), binary.BigEndian.Uint64(frame[offsetClock:])
}

// EncodeFrame writes the answer to a batch into buf, which is overwritten: the header, and the parts in their order.
func EncodeFrame(buf []byte, batch uint32, parts []*Commands) []byte {
	buf = binary.BigEndian.AppendUint32(buf[:0], batch)
	buf = append(buf, make([]byte, commandHeader-offsetLength)...)
	var count uint32
	for _, p := range parts {
		buf = append(buf, p.body...)
		count += p.count
	}
	binary.BigEndian.PutUint32(buf[offsetLength:], uint32(len(buf)))
	binary.BigEndian.PutUint32(buf[offsetCount:], count)
	return buf
}
