package simproto

import (
	"encoding/binary"
	"math"
)

// Replies is one router's share of a reply: its records, in the order written.
type Commands struct {
	body  []byte
	count uint32
}

// Empty tells whether nothing has been written.
func (r *Commands) Empty() bool { return r.count == 0 }

func (r *Commands) code(c uint16) {
	r.count++
	r.body = binary.BigEndian.AppendUint16(r.body, c)
}

func (r *Commands) u16(v uint16)        { r.body = binary.BigEndian.AppendUint16(r.body, v) }
func (r *Commands) u32(v uint32)        { r.body = binary.BigEndian.AppendUint32(r.body, v) }
func (r *Commands) u64(v uint64)        { r.body = binary.BigEndian.AppendUint64(r.body, v) }
func (r *Commands) server(s ServerAddr) { r.body = append(r.body, s[:]...) }
func (r *Commands) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.u16(uint16(len(s)))
	r.body = append(r.body, s...)
}

// For names the router whose records follow.
func (r *Commands) SelectRouter(router uint32) { r.code(1090); r.u32(router) }

// Attempt starts an attempt.
func (r *Commands) StartAttempt(id uint64, s ServerAddr, allow uint32) {
	r.code(1110)
	r.u64(id)
	r.server(s)
	r.u32(allow)
}

// UndoSend calls an attempt off.
func (r *Commands) CancelAttempt(id uint64, trial uint16) { r.code(1010); r.u64(id); r.u16(trial) }

// TurnAway rejects a request.
func (r *Commands) Reject(id uint64, stayAway uint32) { r.code(1040); r.u64(id); r.u32(stayAway) }

// GiveUp ends a request as failed.
func (r *Commands) Fail(id uint64) { r.code(1140); r.u64(id) }

// Remind asks for a tick at an instant.
func (r *Commands) SetTimer(instant uint64, mark uint32) { r.code(1020); r.u64(instant); r.u32(mark) }

// Check probes a server.
func (r *Commands) Probe(s ServerAddr) { r.code(1130); r.server(s) }

// LetGo closes idle connections.
func (r *Commands) CloseIdle(s ServerAddr) { r.code(1000); r.server(s) }

// Post sends bytes to a peer.
func (r *Commands) SendToPeer(to uint16, msg []byte) { r.code(1080); r.u16(to); r.text(string(msg)) }

// Preload orders copies held; with none it only asks.
func (r *Commands) Load(s ServerAddr, function uint64, held uint8) {
	r.code(1070)
	r.server(s)
	r.u64(function)
	r.body = append(r.body, held)
}

// Evict unloads a function's idle copies.
func (r *Commands) Unload(s ServerAddr, function uint64) { r.code(1120); r.server(s); r.u64(function) }

// Watch turns the subscription to list changes on or off.
func (r *Commands) SubscribeEndpoints(on bool) {
	r.code(1030)
	if on {
		r.body = append(r.body, 1)
	} else {
		r.body = append(r.body, 0)
	}
}

// Lookup asks for the whole list.
func (r *Commands) RequestEndpoints() { r.code(1060) }

// Record writes a line for the report.
func (r *Commands) Log(text string) { r.code(1050); r.text(text) }

// BailOut reports that the decision code broke.
func (r *Commands) ReportFailure(text string) { r.code(1100); r.text(text) }

// Frame joins the parts of a reply, in order, behind the header.
func AppendFrame(buf []byte, batch uint32, parts []*Commands) []byte {
	buf = binary.BigEndian.AppendUint32(buf[:0], batch)
	buf = append(buf, 0, 0, 0, 0, 0, 0, 0, 0)
	var count uint32
	for _, p := range parts {
		buf = append(buf, p.body...)
		count += p.count
	}
	binary.BigEndian.PutUint32(buf[4:], uint32(len(buf)))
	binary.BigEndian.PutUint32(buf[8:], count)
	return buf
}
