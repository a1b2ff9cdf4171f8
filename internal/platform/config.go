package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/config"
	"hollymast/internal/discovery"
	"hollymast/internal/simproto"
)

// Config is a router's configuration.
type Config struct {
	Name             string
	Listen           string
	Seed             uint64
	Cores            float64
	MemoryMB         int
	Sockets          int
	DiscoveryAddress string
	History          discovery.History
	Deployment       control.Deployment

	classes           map[string]control.ClassID
	tenants           map[string]control.TenantID
	zone              string
	reportFields      []string // names of the fields of a load report
	connectTimeout    control.Micros
	serverIdleTimeout control.Micros
	maxStreams        int
	grace             control.Micros
	loadTimeout       control.Micros
	memoryMB          float64          // memory of the largest server; 0: not configured
	wallClock         func() time.Time // the wall clock, read once at the start
}

// configFile is the configuration file as JSON.
type configFile struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Board    string            `json:"board"`
	Known    discovery.History `json:"known"`
	Settings json.RawMessage   `json:"settings"`
}

// Environment holds the values taken from environment variables: Name and Listen override the values in the
// configuration file, and File is the path of that file.
type Environment struct {
	Name, Listen, File string
}

// LoadConfig reads and validates the configuration file. Values from env take precedence.
func LoadConfig(env Environment) (*Config, error) {
	text, err := os.ReadFile(env.File)
	if err != nil {
		return nil, err
	}
	c, err := parseConfig(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", env.File, err)
	}
	return c, nil
}

// configWriteTime is how long a truncated configuration file is assumed to be still being written when the process
// starts.
const configWriteTime = time.Second

// LoadConfigAtStart is LoadConfig for the start of the process, when the file may be only partly written: it retries
// for up to configWriteTime.
func LoadConfigAtStart(env Environment) (*Config, error) {
	for begin := time.Now(); ; time.Sleep(minRereadPause) {
		c, err := LoadConfig(env)
		var syntax *json.SyntaxError
		if !errors.As(err, &syntax) || time.Since(begin) > configWriteTime {
			return c, err
		}
	}
}

// parseConfig parses and validates the text of a configuration file.
func parseConfig(text []byte, env Environment) (*Config, error) {
	var doc configFile
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	boot, err := simproto.ParseBootInfo(doc.Settings)
	if err != nil {
		return nil, err
	}
	deployment, err := config.Deployment(boot)
	if err != nil {
		return nil, err
	}
	deployment.MaxCommandDelay = attempt.MaxEndpointsAge(control.Micros(boot.Contract.StopSending))
	const defaultSockets = 20_000 // the number that the settings allow a router to hold open
	c := &Config{
		Name: cmp.Or(env.Name, doc.Name), Listen: cmp.Or(env.Listen, doc.Listen), Cores: doc.Limits.Cores,
		MemoryMB: int(doc.Limits.MemoryMB), Sockets: cmp.Or(doc.Limits.Sockets, defaultSockets),
		DiscoveryAddress: doc.Board, History: doc.Known,
		Deployment: deployment, classes: map[string]control.ClassID{}, tenants: map[string]control.TenantID{},
		reportFields: boot.Report.Fields, connectTimeout: control.Micros(boot.Ceilings.ConnectTimeout),
		serverIdleTimeout: control.Micros(boot.Ceilings.ConnIdle), maxStreams: boot.Ceilings.StreamsPerConn,
		grace: control.Micros(boot.Contract.StopSending), loadTimeout: control.Micros(boot.Specifics.OrderLimit),
		wallClock: time.Now,
	}
	if c.Seed, err = strconv.ParseUint(doc.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed %q: %w", doc.Seed, err)
	}
	for _, a := range []string{c.Listen, c.DiscoveryAddress} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, err
		}
	}
	if c.Cores < 0 || math.IsNaN(c.Cores) || c.MemoryMB < 0 || c.Sockets < minSockets {
		return nil, fmt.Errorf("limits %+v: want at least %d sockets and no negative value", doc.Limits, minSockets)
	}
	if c.connectTimeout <= 0 || c.serverIdleTimeout <= 0 || c.maxStreams <= 0 || c.grace <= 0 || c.loadTimeout <= 0 {
		return nil, errors.New("settings: connect_timeout, conn_idle, streams_per_conn, stop_sending_within and " +
			"order_limit must be above 0")
	}
	for i, class := range boot.Classes {
		c.classes[class.Name] = control.ClassID(i)
	}
	for i, customer := range boot.Customers {
		c.tenants[customer.Name] = control.TenantID(i)
	}
	if int(boot.Zone) < len(boot.Zones) {
		c.zone = boot.Zones[boot.Zone]
	}
	for _, mb := range boot.Specifics.KindMemoryMB {
		c.memoryMB = max(c.memoryMB, mb)
	}
	return c, nil
}
