// Package fakeserver has servers for tests and for the chaos tester: model servers that speak KServe v2 over loopback sockets and fail in
// scripted ways (what they do between sockets is package modelserver's), an xDS control plane and a secret discovery service.
package fakeserver

import (
	"net"
	"time"

	"hollymast/control"
	"hollymast/internal/modelserver"
)

// Config is what a server is able to do; see modelserver.Config.
type Config struct {
	Number             int
	MaxReplicas        int
	Lanes              int
	Cores              int
	ExecutionTime      time.Duration
	QueueLimit         int
	LoadTime           time.Duration
	MaxConcurrentLoads int
	LoadCommandsOnly   bool
	DedupWindow        time.Duration
	NoDedupPrefix      string
	KeepAlive          time.Duration
	SlowStartDuration  time.Duration
	SlowStartInitial   float64
	OverloadWindow     time.Duration
	OverloadRate       float64
	Seed               uint64
	Handshake          func(net.Conn) (net.Conn, error) // makes accepted connections secure; nil: plain text
}

// ModelConfig is the same for the model that runs the server.
func (c Config) ModelConfig() modelserver.Config {
	return modelserver.Config{Number: c.Number, MaxReplicas: c.MaxReplicas, Lanes: c.Lanes, Cores: c.Cores, ExecutionTime: micros(c.ExecutionTime),
		QueueLimit: c.QueueLimit, LoadTime: micros(c.LoadTime), MaxConcurrentLoads: c.MaxConcurrentLoads, LoadCommandsOnly: c.LoadCommandsOnly, DedupWindow: micros(c.DedupWindow),
		NoDedupPrefix: c.NoDedupPrefix, KeepAlive: micros(c.KeepAlive), SlowStartDuration: micros(c.SlowStartDuration), SlowStartInitial: c.SlowStartInitial,
		OverloadWindow: micros(c.OverloadWindow), OverloadRate: c.OverloadRate, Seed: c.Seed}
}

func micros(d time.Duration) control.Micros { return control.Micros(d.Microseconds()) }

// Faults are the ways in which a server fails just now.
type Faults = modelserver.Faults

// StartMode is how a server starts.
type StartMode = modelserver.StartMode

// The ways to start: with all of its capacity, or with a share that grows over the slow start.
const (
	FullCapacity = modelserver.FullCapacity
	SlowStart    = modelserver.SlowStart
)
