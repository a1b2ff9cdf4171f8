package platform

import (
	"hollymast/control"
	"hollymast/internal/msgrpc"
)

// What the reader of a client connection does with each message.

// handle handles one message. After a panic it fails every request on the connection and closes the connection.
func (c *clientConn) handle(m *msgrpc.Message) {
	completed := false
	defer func() {
		if !completed {
			c.setCloseReason(clientClosePanic)
			c.failConnection(msgrpc.EncodeFailure)
			if c.unanswered {
				c.reply(msgrpc.EncodeFailure(m.Number))
			}
		}
	}()
	defer c.router.recoverPanic(panicReadingClient)
	switch m.Kind {
	case msgrpc.HealthCheck:
		c.countMessage(messageHealthCheck)
		c.pacer.Charge(m.Size)
		c.handleHealthCheck(m.Number)
	case msgrpc.Cancel:
		c.countMessage(messageCancellation)
		c.pacer.Charge(m.Size)
		c.handleCancellation(m.Number)
	case msgrpc.Call:
		c.countMessage(messageRequest)
		c.unanswered = true
		c.handleCall(m)
	}
	completed = true
}

// failConnection fails all requests open on the connection, answers those already sent after them with rejectWith,
// and closes the connection.
func (c *clientConn) failConnection(rejectWith func(number uint32) []byte) {
	c.rejectWith = rejectWith
	c.setCloseReason(clientCloseMalformed)
	c.failOpen(requestOutcome{endFailed, reasonConnRejects})
	c.closeWhenIdle(drainAfterBadInput)
	c.closeBy(drainAfterBadInput)
}

// reply sends the response to the request that the reader is handling.
func (c *clientConn) reply(data []byte) {
	c.unanswered = false
	c.post(data)
}

// handleHealthCheck lets the event loop respond, because a router whose event loop hangs is not healthy.
func (c *clientConn) handleHealthCheck(number uint32) {
	c.mu.Lock()
	c.healthChecks++
	c.mu.Unlock()
	c.router.loop.Post(func(control.Micros) {
		c.post(msgrpc.EncodeHealth(number, c.router.ready.Load()))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.healthChecks--
		c.wakeReader()
	})
}

// post queues a message for the client.
func (c *clientConn) post(data []byte) { c.writes.post(queuedFrame{data: data}) }

// tolerableFaults and excessiveFaults are the thresholds of penalize, in malformed or rejected messages on one
// connection.
const (
	tolerableFaults = 64 // no well-behaved client reaches this
	excessiveFaults = 1000
)

// penalize charges a client for a malformed or rejected message. A few hundred at once are answered within the time in which
// such a client must be answered; from excessiveFaults on each is charged twice. While its reader pauses, a cancellation would
// go unnoticed, so none of the client's requests stay open from tolerableFaults on.
func (c *clientConn) penalize(bytes int) {
	c.pacer.Charge(bytes)
	switch c.faults++; {
	case c.faults == tolerableFaults:
		c.failOpen(requestOutcome{endFailed, reasonConnRejects})
	case c.faults > excessiveFaults:
		c.pacer.Charge(bytes)
	}
}

// handleCall validates a request and posts it to the event loop, or answers it.
func (c *clientConn) handleCall(m *msgrpc.Message) {
	if c.rejectUnchecked(m) {
		return
	}
	req := &request{
		id: m.Request.ID, number: m.Number, size: m.Size, client: c, message: m.Request,
		readAt: c.router.loop.Now(), arrivedAt: c.arrivalTime(),
	}
	if why := c.router.validate(&m.Request, req); why != "" {
		c.failInvalid(m, why)
		c.penalize(m.Size)
		return
	}
	switch c.admit(req) {
	case admitted:
		c.router.loop.Post(func(now control.Micros) { c.router.handleRequest(now, req) })
	case numberNotRising:
		// Responses with the same number can't be told apart, so no request on this connection gets a successful
		// response.
		c.failInvalid(m, "number does not rise")
		c.failConnection(func(number uint32) []byte {
			return msgrpc.EncodeInvalid(number, "sent behind a number that did not rise")
		})
	case tooManyOpen:
		c.router.anomalies.add(requestRejected)
		c.reject(m, reasonTooManyOpen)
		c.penalize(m.Size)
	case tooMuchHeld:
		c.reject(m, reasonMemory)
		c.pacer.Charge(m.Size)
	}
}

// rejectUnchecked rejects a request whatever it holds, if the connection or the router takes no more, and reports whether it did.
func (c *clientConn) rejectUnchecked(m *msgrpc.Message) bool {
	switch {
	case c.rejectWith != nil:
		c.router.requestEnds.add(requestOutcome{endRejected, reasonConnRejects})
		c.reply(c.rejectWith(m.Number))
		c.penalize(m.Size)
	case c.router.listenerClosing():
		c.reject(m, reasonStopping)
	case c.pacer.Exceeded():
		c.lastNumber = max(c.lastNumber, m.Number)
		c.reject(m, reasonClientTooFast)
		c.pacer.Charge(m.Size)
	default:
		return false
	}
	return true
}

// reject answers the request that the reader is handling with a rejection.
func (c *clientConn) reject(m *msgrpc.Message, reason control.Reason) {
	c.router.requestEnds.add(requestOutcome{endRejected, reason})
	c.reply(c.router.rejection(m.Request.ID, m.Number))
}

// failInvalid answers the request that the reader is handling with what is wrong with it.
func (c *clientConn) failInvalid(m *msgrpc.Message, why string) {
	c.router.countBadMessage(&msgrpc.MessageError{Number: m.Number, Text: why})
	c.router.requestEnds.add(requestOutcome{endFailed, reasonInvalid})
	c.reply(msgrpc.EncodeInvalid(m.Number, why))
}

// admission is whether a valid request is taken.
type admission uint8

// The results of admit.
const (
	admitted admission = iota
	numberNotRising
	tooManyOpen
	tooMuchHeld
)

// admit adds a request to those that are open, if it may be.
func (c *clientConn) admit(req *request) admission {
	c.mu.Lock()
	defer c.mu.Unlock()
	rises := req.number > c.lastNumber
	c.lastNumber = max(c.lastNumber, req.number)
	switch {
	case !rises:
		return numberNotRising
	case len(c.open) >= maxOpenPerClient || c.faults >= tolerableFaults:
		return tooManyOpen
	case !c.bytes.addRequest(c.router.clientBytes.limits.RequestBytes(req.size)):
		return tooMuchHeld
	}
	c.open[req.number] = req
	c.unanswered = false
	return admitted
}

// removeOpen removes a request from those that are open, and reports whether it was. The caller holds mu.
func (c *clientConn) removeOpen(req *request) bool {
	if c.open[req.number] != req {
		return false
	}
	delete(c.open, req.number)
	c.bytes.remove(c.router.clientBytes.limits.RequestBytes(req.size))
	return true
}

// handleCancellation cancels a request. From here on no attempt of it is written, even if the event loop has not
// handled the cancellation yet.
func (c *clientConn) handleCancellation(number uint32) {
	c.mu.Lock()
	req := c.open[number]
	if req != nil {
		req.abandoned.Store(true)
		c.removeOpen(req)
	}
	c.mu.Unlock()
	if req != nil {
		c.pacer.Charge(req.size)
		c.router.loop.Post(func(now control.Micros) {
			c.router.handleCancel(now, req, requestOutcome{endCancelled, reasonClientLeft})
		})
	}
}
