package simproto

import (
	"encoding/binary"
	"math"
)

// The codes of the commands that the adapter answers with. They are in the same range as the records' codes, but have
// other meanings.
const (
	commandCloseIdle        uint16 = 1000
	commandCancelAttempt    uint16 = 1010
	commandSetTimer         uint16 = 1020
	commandSubscribe        uint16 = 1030
	commandReject           uint16 = 1040
	commandLog              uint16 = 1050
	commandRequestEndpoints uint16 = 1060
	commandLoad             uint16 = 1070
	commandSendToPeer       uint16 = 1080
	commandSelectRouter     uint16 = 1090
	commandReportFailure    uint16 = 1100
	commandStartAttempt     uint16 = 1110
	commandUnload           uint16 = 1120
	commandProbe            uint16 = 1130
	commandFail             uint16 = 1140
)

// Commands collects one router's commands of a batch, in the order written. Times and durations are in microseconds.
type Commands struct {
	body  []byte
	count uint32
}

func (c *Commands) begin(code uint16) {
	c.count++
	c.body = binary.BigEndian.AppendUint16(c.body, code)
}

func (c *Commands) uint8(v uint8)          { c.body = append(c.body, v) }
func (c *Commands) uint16(v uint16)        { c.body = binary.BigEndian.AppendUint16(c.body, v) }
func (c *Commands) uint32(v uint32)        { c.body = binary.BigEndian.AppendUint32(c.body, v) }
func (c *Commands) uint64(v uint64)        { c.body = binary.BigEndian.AppendUint64(c.body, v) }
func (c *Commands) server(addr ServerAddr) { c.body = append(c.body, addr[:]...) }

// text writes a length of two bytes and the text, which is truncated to the largest such length.
func (c *Commands) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	c.uint16(uint16(len(s)))
	c.body = append(c.body, s...)
}

// SelectRouter sets the router that the following commands belong to.
func (c *Commands) SelectRouter(router uint32) {
	c.begin(commandSelectRouter)
	c.uint32(router)
}

// StartAttempt sends a request to a server.
func (c *Commands) StartAttempt(id uint64, addr ServerAddr, timeout uint32) {
	c.begin(commandStartAttempt)
	c.uint64(id)
	c.server(addr)
	c.uint32(timeout)
}

// CancelAttempt cancels an attempt.
func (c *Commands) CancelAttempt(id uint64, attempt uint16) {
	c.begin(commandCancelAttempt)
	c.uint64(id)
	c.uint16(attempt)
}

// Reject ends a request that its client may retry.
func (c *Commands) Reject(id uint64, retryAfter uint32) {
	c.begin(commandReject)
	c.uint64(id)
	c.uint32(retryAfter)
}

// Fail ends a request as failed.
func (c *Commands) Fail(id uint64) {
	c.begin(commandFail)
	c.uint64(id)
}

// SetTimer requests a timer record with a tag for the given time.
func (c *Commands) SetTimer(instant uint64, tag uint32) {
	c.begin(commandSetTimer)
	c.uint64(instant)
	c.uint32(tag)
}

// Probe requests a health check of a server.
func (c *Commands) Probe(addr ServerAddr) {
	c.begin(commandProbe)
	c.server(addr)
}

// CloseIdle closes the idle connections to a server.
func (c *Commands) CloseIdle(addr ServerAddr) {
	c.begin(commandCloseIdle)
	c.server(addr)
}

// SendToPeer sends bytes to another router.
func (c *Commands) SendToPeer(to uint16, message []byte) {
	c.begin(commandSendToPeer)
	c.uint16(to)
	c.text(string(message))
}

// Load makes a server hold replicas of a function in memory; with 0 replicas it only asks how many there are.
func (c *Commands) Load(addr ServerAddr, function uint64, replicas uint8) {
	c.begin(commandLoad)
	c.server(addr)
	c.uint64(function)
	c.uint8(replicas)
}

// Unload removes a function's idle replicas from a server.
func (c *Commands) Unload(addr ServerAddr, function uint64) {
	c.begin(commandUnload)
	c.server(addr)
	c.uint64(function)
}

// SubscribeEndpoints subscribes to the changes of the endpoint list from now on.
func (c *Commands) SubscribeEndpoints() {
	const on = 1
	c.begin(commandSubscribe)
	c.uint8(on)
}

// RequestEndpoints requests the whole endpoint list.
func (c *Commands) RequestEndpoints() { c.begin(commandRequestEndpoints) }

// Log writes a line for the simulator's report.
func (c *Commands) Log(text string) {
	c.begin(commandLog)
	c.text(text)
}

// ReportFailure reports that the decision code failed.
func (c *Commands) ReportFailure(text string) {
	c.begin(commandReportFailure)
	c.text(text)
}
