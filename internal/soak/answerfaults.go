package soak

import (
	"net"
	"time"
)

// responseFault is what a model server does wrong with a response during the DisruptResponses fault.
type responseFault uint8

const (
	responseLost responseFault = iota // nothing is sent
	responseCorrupted
	responseDuplicated
	responseDelayed
	responseReset
	responseFaultCount // the number of response faults
)

// deliverResponse sends a response frame. If mayFail is set and responses are being disrupted, it injects a random fault instead
// for a small share of them.
func (r *run) deliverResponse(link *serverLink, frame []byte, mayFail bool) {
	const faultProbability = 0.05
	if !mayFail || !r.disruptingResponses.Load() || r.randomFloat() >= faultProbability {
		link.send(frame)
		return
	}
	switch responseFault(r.randomFloat() * float64(responseFaultCount)) {
	case responseCorrupted:
		frame[len(frame)-1] ^= 0xff
		link.send(frame)
	case responseDuplicated:
		link.send(frame)
		const maxGap = 20 * time.Millisecond
		time.Sleep(time.Duration(r.randomFloat() * float64(maxGap)))
		link.send(frame)
	case responseDelayed:
		const delay = 3 * time.Second
		time.AfterFunc(delay, func() { link.send(frame) })
	case responseReset:
		if tcp, ok := link.conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		link.conn.Close()
	}
}
