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
	"hollymast/internal/board"
	"hollymast/internal/terms"
	"hollymast/internal/wire"
)

// Told is what the platform tells a router.
type Told struct {
	Name       string
	Listen     string
	Seed       uint64
	Cores      float64
	MemoryMB   int
	Sockets    int
	Board      string
	Known      board.Known
	Deployment control.Deployment

	classes    map[string]control.WorkloadID
	tenants    map[string]control.TenantID
	zone       string
	reports    []string // fields of a load report
	connecting control.Micros
	idle       control.Micros
	streams    int
	grace      control.Micros
	orderLimit control.Micros
	memoryMB   float64          // of the largest server; 0: not told
	wall       func() time.Time // the wall clock; read once, at the start
}

// document is the configuration file.
type document struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Board    string          `json:"board"`
	Known    board.Known     `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Environment gives the variables that the platform sets.
type Environment struct {
	Name, Listen, File string
}

// ReadTold reads the configuration; what the environment tells beside it comes before.
func ReadTold(env Environment) (*Told, error) {
	text, err := os.ReadFile(env.File)
	if err != nil {
		return nil, err
	}
	t, err := parseTold(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", env.File, err)
	}
	return t, nil
}

// halfWritten is for how long a file that ends too early may be on its way at the start.
const halfWritten = time.Second

// FirstTold is ReadTold at a start, which may meet the file while it is written.
func FirstTold(env Environment) (*Told, error) {
	for begin := time.Now(); ; time.Sleep(rereadFirst) {
		t, err := ReadTold(env)
		var syntax *json.SyntaxError
		if !errors.As(err, &syntax) || time.Since(begin) > halfWritten {
			return t, err
		}
	}
}

func parseTold(text []byte, env Environment) (*Told, error) {
	var d document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, err
	}
	boot, err := wire.ReadBootInfo(d.Settings)
	if err != nil {
		return nil, err
	}
	deployment, err := terms.Deployment(boot)
	if err != nil {
		return nil, err
	}
	deployment.Late = attempt.Fresh(control.Micros(boot.Contract.StopSending))
	const plenty = 20_000 // as the start settings allow a router to hold open
	t := &Told{Name: cmp.Or(env.Name, d.Name), Listen: cmp.Or(env.Listen, d.Listen), Cores: d.Limits.Cores,
		MemoryMB: int(d.Limits.MemoryMB), Sockets: cmp.Or(d.Limits.Sockets, plenty), Board: d.Board, Known: d.Known,
		Deployment: deployment, classes: map[string]control.WorkloadID{}, tenants: map[string]control.TenantID{},
		reports: boot.Report.Fields, connecting: control.Micros(boot.Ceilings.ConnectTimeout),
		idle: control.Micros(boot.Ceilings.ConnIdle), streams: boot.Ceilings.StreamsPerConn,
		grace: control.Micros(boot.Contract.StopSending), orderLimit: control.Micros(boot.Specifics.OrderLimit), wall: time.Now}
	if t.Seed, err = strconv.ParseUint(d.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed %q: %w", d.Seed, err)
	}
	for _, a := range []string{t.Listen, t.Board} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, err
		}
	}
	if t.Cores < 0 || math.IsNaN(t.Cores) || t.MemoryMB < 0 || t.Sockets < fewestSockets {
		return nil, fmt.Errorf("limits %+v: at least %d sockets, nothing negative", d.Limits, fewestSockets)
	}
	if t.connecting <= 0 || t.idle <= 0 || t.streams <= 0 || t.grace <= 0 || t.orderLimit <= 0 {
		return nil, errors.New("settings: connect_timeout, conn_idle, streams_per_conn, stop_sending_within and " +
			"order_limit must be above 0")
	}
	for i, c := range boot.Classes {
		t.classes[c.Name] = control.WorkloadID(i)
	}
	for i, c := range boot.Customers {
		t.tenants[c.Name] = control.TenantID(i)
	}
	if int(boot.Zone) < len(boot.Zones) {
		t.zone = boot.Zones[boot.Zone]
	}
	for _, mb := range boot.Specifics.KindMemoryMB {
		t.memoryMB = max(t.memoryMB, mb)
	}
	return t, nil
}
