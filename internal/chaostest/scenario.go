// Package chaostest plays days: real router processes, stand-ins and clients on loopback, with scripted troubles, judged by
// what crossed the sockets.
package chaostest

import (
	_ "embed"
	"strings"
	"time"

	"hollymast/internal/inifile"
)

//go:embed bad.ini
var defaultScenario []byte

// Day is what is played.
type Scenario struct {
	Name              string
	Seed              uint64
	Requests          int
	Length            time.Duration
	Routers           int
	Workers           int
	Functions         int
	LimitLoadRate     bool
	LoadCommandsOnly  bool // only orders load
	Faults            []Fault
	EndpointSource    string   // of the list: one of Sources
	TLS               bool     // all connections are secret, and certificates are renewed meanwhile
	ClientBehavior    string   // of clients: one of Manners
	LibraryClients    int      // that behave as the library; each has connections, marks and a budget of its own
	DampOverload      bool     // routers damp storms
	TenantWithinQuota bool     // the tenant of a trouble one_tenant keeps to its share: what the others have then is what a storm is held against
	RouterState       string   // what routers remember after a restart: one of Memories
	RecordDir         string   // folder for the routers' recordings, one in it for each; empty: none
	configOverrides   []string // pairs of settings and what routers are told instead: plants breaches
}

// Trouble is something that goes wrong for a time.
type Fault struct {
	Name     string
	Kind     string
	At       time.Duration
	Duration time.Duration
	Target   int     // of the server or router; -1: all
	Share    float64 // of jobs, where the kind has one
	Factor   float64 // how much slower
}

// The kinds, in the words of a bench day's troubles, and those of single connections.
var faultKinds = []string{"hang", "crash", "vanish", "pauses", "answer_lost", "origin_slow", "origin_stopped", "hot_key", "scan",
	"discovery_stale", "deploy", "give_up", "retry_abuse", "balancer_stall", "balancer_roll", "balancer_kill", "ageing",
	"reset_before", "reset_after", "refuse", "one_tenant", "rise", "plane_lost", "plane_half", "plane_cut", "plane_silent"}

// Sources are where routers have the list from: a file, or a pretend control plane in either variant.
var EndpointSources = []string{"file", "xds", "delta"}

// Memories are what routers of a day may remember: nothing; what they sent, and so what limits them, alone; all; that as if a month ago; what was learned on
// quite another day.
var RouterStates = []string{"none", "limits", "kept", "old", "other"}

// What one machine bears as processes and listeners on loopback, and what the emulator's memory does.
const (
	maxRouters   = 64
	maxWorkers   = 256
	maxSimulated = 5000
)

// ReadDay reads a day's script; nil text means the built-in bad day. Flags may change its size afterwards.
func ParseScenario(name string, text []byte) (*Scenario, error) {
	if text == nil {
		name, text = "bad.ini", defaultScenario
	}
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	s := f.Section("day")
	d := &Scenario{Name: s.String("name", name), Requests: s.Int("jobs", 5000, 1, 10_000_000), Length: s.Duration("length", 20*time.Second, time.Second, time.Hour),
		Routers: s.Int("routers", 3, 1, maxSimulated), Workers: s.Int("workers", 12, 1, maxSimulated), Functions: s.Int("functions", 60, 1, 100_000),
		LimitLoadRate: s.Bool("ration", true)}
	d.LoadCommandsOnly = s.Bool("orders_only", false)
	d.ClientBehavior, d.DampOverload = ClientBehaviors[s.OneOf("manners", "usual", ClientBehaviors...)], s.Bool("damp_storms", true)
	d.LibraryClients = s.Int("clients", 20, 1, 20_000)
	d.EndpointSource, d.TLS = EndpointSources[s.OneOf("source", "file", EndpointSources...)], s.Bool("keys", false)
	if d.TLS && (d.ClientBehavior == "good" || d.ClientBehavior == "mixed") {
		s.Errorf("keys", "clients that behave as the library have no keys here")
	}
	d.RouterState = RouterStates[s.OneOf("memory", "none", RouterStates...)]
	for _, s := range f.Sections("trouble ") {
		t := Fault{Name: strings.TrimPrefix(s.Name, "trouble "), At: s.Duration("at", 0, 0, time.Hour), Duration: s.Duration("lasts", time.Second, 0, time.Hour),
			Target: s.Int("number", 0, -1, maxSimulated-1), Share: s.Float("share", 0.3, 0, 1), Factor: s.Float("times", 5, 1, 1000)}
		t.Kind = faultKinds[s.OneOf("kind", "", faultKinds...)]
		if strings.HasPrefix(t.Kind, "plane_") && d.EndpointSource == "file" {
			s.Errorf("kind", "there is no control plane: the list comes from a file")
		}
		if t.At+t.Duration > d.Length {
			s.Errorf("lasts", "ends after the day's %s", d.Length)
		}
		d.Faults = append(d.Faults, t)
	}
	return d, f.Check()
}
