package simproto

// The codes of the records that the simulator sends.
const (
	recordStartRouter     uint16 = 1000
	recordEndpoints       uint16 = 1010
	recordRequest         uint16 = 1020
	recordResponseHeader  uint16 = 1030
	recordAttemptResult   uint16 = 1040
	recordClientCancelled uint16 = 1050
	recordTimer           uint16 = 1060
	recordProbeResult     uint16 = 1070
	recordPeerMessage     uint16 = 1080
	recordStopRouter      uint16 = 1090
	recordLoadResult      uint16 = 1100
	recordSelectRouter    uint16 = 1110
)

// ServerAddr is a model server's IPv4 address and port as encoded on the wire.
type ServerAddr [6]byte

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	State     uint8
	Machine   uint16
	Weight    float32
	Zone      uint16
	Cell      uint16
	Server    ServerAddr
	StartedAt uint64 // microseconds on the simulator's clock
}

// Request is a client's request as encoded on the wire.
type Request struct {
	ID       uint64
	Class    uint16
	Tenant   uint16
	Function uint64
	Timeout  uint32 // microseconds
	Work     uint32 // microseconds; valid only if the option bit for it is set
	MemoryMB float32
	Lanes    float32
	LoadMS   float32 // milliseconds
	Options  uint16  // option bits
}

// AttemptResult is the end of an attempt as encoded on the wire.
type AttemptResult struct {
	ID          uint64
	Flags       uint8
	Duration    uint32 // microseconds
	Attempt     uint16
	RequestDone bool
	Status      uint16
	Server      ServerAddr
	Load        []float32 // the server's load report, in the order that the start settings give
}

// Handler receives the records of a batch in their order, one call for each. Durations are in microseconds. An error
// ends the batch.
type Handler interface {
	SelectRouter(router uint32) error
	StartRouter(seed uint64, settings []byte) error
	UpdateEndpoints(mode uint8, version uint64, endpoints []Endpoint) error
	AddRequest(Request) error
	HandleResponseHeader(id uint64, attempt uint16, server ServerAddr, duration uint32) error
	HandleAttemptResult(AttemptResult) error
	CancelRequest(id uint64) error
	HandleTimer(tag uint32) error
	HandleProbeResult(server ServerAddr, status uint16, duration uint32, load []float32) error
	HandlePeerMessage(from uint32, message []byte) error
	StopRouter() error
	HandleLoadResult(server ServerAddr, function uint64, status uint16, duration uint32, replicas uint8) error
}
