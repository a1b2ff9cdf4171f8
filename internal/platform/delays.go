package platform

import (
	"runtime/metrics"

	"github.com/rs/zerolog"

	"hollymast/control"
)

// The state log line tells where the time of a request goes within this process, and how much memory the process uses.

// delayPeaks are the longest delays since the previous state log line, in microseconds.
type delayPeaks struct {
	step         peak // one event-loop step
	scheduling   peak // how late a timer's goroutine ran
	responseWait peak // from queueing a response until its write began
	lateResponse peak // how long after its client's deadline a response was queued
}

// delays returns the longest delays, and the longest event queue, as fields of the state log line.
func (r *Router) delays() *zerolog.Event {
	queue := r.loop.TakeQueuePeaks()
	return zerolog.Dict().Int64("event_wait_us", queue.Wait.Microseconds()).Int("events", queue.Length).
		Int64("step_us", r.delayPeaks.step.take()).Int64("scheduling_us", r.delayPeaks.scheduling.take()).
		Int64("response_wait_us", r.delayPeaks.responseWait.take()).Int64("late_response_us", r.delayPeaks.lateResponse.take())
}

// recordLateResponse records that a response was queued after its client's deadline.
func (r *Router) recordLateResponse(req *request) {
	if late := r.loop.Now() - (req.arrivedAt + req.message.Timeout); late > 0 {
		r.anomalies.add(responseLate)
		r.delayPeaks.lateResponse.record(int64(late))
	}
}

// memoryUse returns what the Go runtime tells of memory and of the time for collecting it, as fields of the state log line.
func memoryUse() *zerolog.Event {
	const heap, stacks, collector = "/memory/classes/heap/objects:bytes", "/memory/classes/heap/stacks:bytes", "/cpu/classes/gc/total:cpu-seconds"
	samples := []metrics.Sample{{Name: heap}, {Name: stacks}, {Name: collector}}
	metrics.Read(samples)
	const secondsToMicros = 1e6
	return zerolog.Dict().Uint64("heap_bytes", samples[0].Value.Uint64()).Uint64("stack_bytes", samples[1].Value.Uint64()).
		Int64("collector_us", int64(samples[2].Value.Float64()*secondsToMicros))
}

// messageKind is a kind of message from a client, for the state log line.
type messageKind uint8

// The kinds of messages. Those that can't be accepted are also counted as anomalies, by what is wrong.
const (
	messageRequest messageKind = iota
	messageCancellation
	messageHealthCheck
	messageBad
)

var messageKindTexts = [...]string{
	messageRequest:      "requests",
	messageCancellation: "cancellations",
	messageHealthCheck:  "health checks",
	messageBad:          "bad messages",
}

func (k messageKind) String() string { return messageKindTexts[k] }

// countMessage counts a message that was read from the connection.
func (c *clientConn) countMessage(kind messageKind) {
	c.router.messages.add(kind)
	if now := c.router.loop.Now(); now >= c.messagesSince+busiestClientInterval {
		c.messageCount, c.messagesSince = 0, now
	}
	c.messageCount++
	c.router.busiestClient.record(c.messageCount)
}

// busiestClientInterval is the time in microseconds over which the messages of one connection are counted for the state
// log line.
const busiestClientInterval control.Micros = 1_000_000
