package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Malformed clients open connections that send nothing, or data that routers cannot parse.
const (
	malformedConnections   = 150 // opened at a time
	malformedInterval      = 6 * time.Second
	malformedResponseLimit = 3 * time.Second // for a response or a close
	malformedReadTimeout   = 8 * time.Second
)

// malformedMessages are what malformed clients send; each connection sends one of them.
var malformedMessages = [][]byte{
	nil, // sends nothing
	{0xc1, 0xc1, 0xc1, 0xc1},
	[]byte("GET / HTTP/1.1\r\nHost: example\r\n\r\n"),
	{0xdd, 0xff, 0xff, 0xff, 0xff},                     // an array of 2^32-1 elements
	{0x94, 0x00, 0x01},                                 // a truncated request
	{0x94, 0x00, 0xff, 0xa4, 'c', 'a', 'l', 'l', 0x90}, // a negative message number
}

// runMalformedClients opens a batch of malformed connections every malformedInterval until the traffic ends.
func (r *run) runMalformedClients() {
	var connections sync.WaitGroup
	defer connections.Wait()
	for !r.trafficEnded() {
		for n := range malformedConnections {
			router := r.routers[n%len(r.routers)]
			if router.isReady() {
				connections.Go(func() { r.sendMalformed(router, malformedMessages[n%len(malformedMessages)]) })
			}
		}
		for begin := time.Now(); time.Since(begin) < malformedInterval && !r.trafficEnded(); {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// sendMalformed opens a connection, sends one message and waits for a response or a close.
func (r *run) sendMalformed(router *router, message []byte) {
	conn, err := net.Dial("tcp", router.address)
	if err != nil {
		return
	}
	defer conn.Close()
	begin := time.Now()
	conn.Write(message)
	conn.SetReadDeadline(begin.Add(malformedReadTimeout))
	_, err = io.ReadFull(conn, make([]byte, 1))
	took := time.Since(begin)
	if tolerance := timingTolerance + r.lag.maxBefore(time.Now()); took > malformedResponseLimit+tolerance && router.isReady() {
		r.ledger.report(time.Now(), RuleMalformed, "n%d neither answered nor closed a malformed connection for %v: %v", router.number, took, err)
	}
}
