package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// The crowd: connections that send nothing, or what can't be read.
const (
	crowdSize     = 150 // connections at a time
	crowdEvery    = 6 * time.Second
	owedWithin    = 3 * time.Second // an answer or a close
	crowdPatience = 8 * time.Second
)

// malformed are the messages of the crowd; each connection sends one.
var malformed = [][]byte{
	nil, // says nothing
	{0xc1, 0xc1, 0xc1, 0xc1},
	[]byte("GET / HTTP/1.1\r\nHost: example\r\n\r\n"),
	{0xdd, 0xff, 0xff, 0xff, 0xff},                     // an array of four billion
	{0x94, 0x00, 0x01},                                 // half a request
	{0x94, 0x00, 0xff, 0xa4, 'c', 'a', 'l', 'l', 0x90}, // a negative number
}

// crowd opens connections by the hundred, again and again, until the traffic ends.
func (r *run) crowd() {
	var all sync.WaitGroup
	defer all.Wait()
	for !r.trafficOver() {
		for n := range crowdSize {
			router := r.routers[n%len(r.routers)]
			if router.isReady() {
				all.Go(func() { r.standInCrowd(router, malformed[n%len(malformed)]) })
			}
		}
		for begin := time.Now(); time.Since(begin) < crowdEvery && !r.trafficOver(); {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// standInCrowd connects, sends one message and waits for an answer or a close.
func (r *run) standInCrowd(router *router, message []byte) {
	conn, err := net.Dial("tcp", router.address)
	if err != nil {
		return
	}
	defer conn.Close()
	begin := time.Now()
	conn.Write(message)
	conn.SetReadDeadline(begin.Add(crowdPatience))
	_, err = io.ReadFull(conn, make([]byte, 1))
	took := time.Since(begin)
	if tolerance := slack + r.lag.before(time.Now()); took > owedWithin+tolerance && router.isReady() {
		r.ledger.report(time.Now(), RuleMalformed, "n%d left a malformed connection %v without an answer or a close: %v", router.number, took, err)
	}
}
