package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
)

var errUnknownCode = errors.New("unknown record code")

// Decode hands each record of a whole frame to the handler. Its errors name the batch, the record and its first byte; they wrap
// ErrTruncated where a record ends early, and the handler's own errors.
func Decode(frame []byte, h Handler) error {
	batch, _ := ParseHeader(frame)
	r := &recordReader{buf: frame, at: requestHeader}
	count := binary.BigEndian.Uint32(frame[offsetCount:])
	for i := uint32(0); i < count; i++ {
		start := r.at
		code := r.uint16()
		err := r.decodeRecord(code, h)
		if r.truncated {
			return fmt.Errorf("batch %d: record %d (code %d) at byte %d is %w", batch, i, code, start, ErrTruncated)
		}
		if err != nil {
			return fmt.Errorf("batch %d: record %d (code %d) at byte %d: %w", batch, i, code, start, err)
		}
	}
	if r.at != len(frame) {
		return fmt.Errorf("batch %d: %d bytes left over after the last record", batch, len(frame)-r.at)
	}
	return nil
}

// decodeRecord reads one record's fields and then calls the handler, which sees no record that is truncated.
func (r *recordReader) decodeRecord(code uint16, h Handler) error {
	var call func() error
	switch code {
	case recordSelectRouter:
		router := r.uint32()
		call = func() error { return h.SelectRouter(router) }
	case recordStartRouter:
		seed, settings := r.uint64(), r.bytes(int(r.uint32()))
		call = func() error { return h.StartRouter(seed, settings) }
	case recordEndpoints:
		mode, version, endpoints := r.uint8(), r.uint64(), r.endpoints()
		call = func() error { return h.UpdateEndpoints(mode, version, endpoints) }
	case recordRequest:
		request := r.request()
		call = func() error { return h.AddRequest(request) }
	case recordResponseHeader:
		id, attempt, server, duration := r.uint64(), r.uint16(), r.server(), r.uint32()
		call = func() error { return h.HandleResponseHeader(id, attempt, server, duration) }
	case recordAttemptResult:
		result := r.attemptResult()
		call = func() error { return h.HandleAttemptResult(result) }
	case recordClientCancelled:
		id := r.uint64()
		call = func() error { return h.CancelRequest(id) }
	case recordTimer:
		mark := r.uint32()
		call = func() error { return h.HandleTimer(mark) }
	case recordProbeResult:
		server, status, duration, load := r.server(), r.uint16(), r.uint32(), r.floats()
		call = func() error { return h.HandleProbeResult(server, status, duration, load) }
	case recordPeerMessage:
		from, message := r.uint32(), r.bytes(int(r.uint16()))
		call = func() error { return h.HandlePeerMessage(from, message) }
	case recordStopRouter:
		call = h.StopRouter
	case recordLoadResult:
		server, function, status, duration, replicas := r.server(), r.uint64(), r.uint16(), r.uint32(), r.uint8()
		call = func() error { return h.HandleLoadResult(server, function, status, duration, replicas) }
	default:
		return errUnknownCode
	}
	if r.truncated {
		return nil // the caller reports it
	}
	return call()
}

// request reads a request's fields. Go evaluates the calls in the order in which they stand.
func (r *recordReader) request() Request {
	return Request{ID: r.uint64(), Class: r.uint16(), Tenant: r.uint16(), Function: r.uint64(), Timeout: r.uint32(), Work: r.uint32(),
		MemoryMB: r.float32(), Lanes: r.float32(), LoadMS: r.float32(), Options: r.uint16()}
}

func (r *recordReader) attemptResult() AttemptResult {
	return AttemptResult{ID: r.uint64(), Flags: r.uint8(), Duration: r.uint32(), Attempt: r.uint16(), RequestDone: r.uint8() != 0,
		Status: r.uint16(), Server: r.server(), Load: r.floats()}
}

// endpointBytes is the length of one endpoint on the wire.
const endpointBytes = 25

// endpoints reads an endpoint list. Its length is checked against the bytes that are left, so that a corrupt one allocates nothing.
func (r *recordReader) endpoints() []Endpoint {
	n := int(r.uint32())
	if n > (len(r.buf)-r.at)/endpointBytes {
		r.truncated = true
		return nil
	}
	endpoints := make([]Endpoint, n)
	for i := range endpoints {
		endpoints[i] = Endpoint{State: r.uint8(), Machine: r.uint16(), Weight: r.float32(), Zone: r.uint16(), Cell: r.uint16(),
			Server: r.server(), StartedAt: r.uint64()}
	}
	return endpoints
}
