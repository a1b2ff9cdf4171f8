package soak

import (
	"net"
	"time"
)

// answerFault is what happens to an answer while answers are lost.
type answerFault uint8

const (
	answerLost answerFault = iota
	answerSpoilt
	answerTwice
	answerLate
	answerReset
	answerFaults // their number
)

// deliver writes an answer, or what a fault makes of it.
func (r *run) deliver(link *serverLink, frame []byte, mayFail bool) {
	const faultyShare = 0.05
	if !mayFail || !r.losingAnswers.Load() || r.chance() >= faultyShare {
		link.send(frame)
		return
	}
	switch answerFault(r.chance() * float64(answerFaults)) {
	case answerSpoilt:
		frame[len(frame)-1] ^= 0xff
		link.send(frame)
	case answerTwice:
		link.send(frame)
		const apart = 20 * time.Millisecond // at most
		time.Sleep(time.Duration(r.chance() * float64(apart)))
		link.send(frame)
	case answerLate:
		const late = 3 * time.Second
		time.AfterFunc(late, func() { link.send(frame) })
	case answerReset:
		if tcp, ok := link.conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		link.conn.Close()
	}
}
