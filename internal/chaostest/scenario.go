package chaostest

import (
	_ "embed"
	"strings"
	"time"

	"hollymast/internal/inifile"
)

//go:embed bad.ini
var defaultScenario []byte

// Scenario describes one run: the load, the processes, and the faults that are injected.
type Scenario struct {
	Name               string
	Seed               uint64
	Calls              int // operations of clients, without their retries
	Length             time.Duration
	Routers            int
	Workers            int
	Functions          int
	LimitLoadRate      bool // routers limit the rate of their load commands
	LoadCommandsOnly   bool // servers load on command only, never on a cache miss
	Faults             []Fault
	EndpointSource     EndpointSource
	TLS                bool // all connections use TLS, and certificates are rotated during the run
	ClientBehavior     ClientBehavior
	LibraryClients     int  // clients that use the client library, each with its own connections, keys and retry budget
	OverloadProtection bool // routers dampen retry storms
	TenantWithinQuota  bool // the noisy tenant of a one_tenant fault stays within its quota: a baseline for a run in which it doesn't
	RouterState        RouterState
	RecordDir          string   // parent of the routers' recording directories; empty: nothing is recorded
	configOverrides    []string // pairs of old and new text to replace in the routers' configuration: tests misconfigure routers with it
}

// EndpointSource is where routers read the endpoint list from.
type EndpointSource string

// The endpoint sources. Both xDS variants use a fake control plane.
const (
	SourceFile     EndpointSource = "file"
	SourceXDS      EndpointSource = "xds"   // state of the world
	SourceXDSDelta EndpointSource = "delta" // incremental
)

// endpointSources lists all endpoint sources.
var endpointSources = []EndpointSource{SourceFile, SourceXDS, SourceXDSDelta}

// ClientBehavior says how clients retry.
type ClientBehavior string

// The client behaviors.
const (
	ClientsBasic       ClientBehavior = "usual" // retry as their workload and the response allow, with three requests per call at most
	ClientsWithLibrary ClientBehavior = "good"  // use the client library
	ClientsBlind       ClientBehavior = "bad"   // retry almost immediately, without retry headers, until their deadline
	ClientsMixed       ClientBehavior = "mixed" // half of the clients use the library, the others retry blindly
)

// ClientBehaviors lists all client behaviors.
var ClientBehaviors = []ClientBehavior{ClientsBasic, ClientsWithLibrary, ClientsBlind, ClientsMixed}

// RouterState says which persisted state a restarted router finds.
type RouterState string

// The router states.
const (
	StateNone        RouterState = "none"   // nothing is persisted
	StateJournalOnly RouterState = "limits" // only the journal of attempts, which rate limits are restored from
	StateComplete    RouterState = "kept"   // everything
	StateAged        RouterState = "old"    // everything, as if it had been written a month ago
	StateMismatched  RouterState = "other"  // everything, but learned under different load
)

// routerStates lists all router states.
var routerStates = []RouterState{StateNone, StateJournalOnly, StateComplete, StateAged, StateMismatched}

// Limits of a scenario: what one machine can run as processes and listeners on loopback, and what a simulation can hold in memory.
const (
	maxRouters   = 64
	maxWorkers   = 256
	maxSimulated = 5000
)

// ParseScenario parses a scenario (INI), or the built-in one if the text is nil. It reports all errors in the text together, as an
// *inifile.ValidationError.
func ParseScenario(name string, text []byte) (*Scenario, error) {
	if text == nil {
		name, text = "bad.ini", defaultScenario
	}
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	section := file.Section("day")
	s := &Scenario{
		Name:               section.String("name", name),
		Calls:              section.Int("jobs", 5000, 1, 10_000_000),
		Length:             section.Duration("length", 20*time.Second, time.Second, time.Hour),
		Routers:            section.Int("routers", 3, 1, maxSimulated),
		Workers:            section.Int("workers", 12, 1, maxSimulated),
		Functions:          section.Int("functions", 60, 1, 100_000),
		LimitLoadRate:      section.Bool("ration", true),
		LoadCommandsOnly:   section.Bool("orders_only", false),
		ClientBehavior:     inifile.OneOf(section, "manners", ClientsBasic, ClientBehaviors...),
		OverloadProtection: section.Bool("damp_storms", true),
		LibraryClients:     section.Int("clients", 20, 1, 20_000),
		EndpointSource:     inifile.OneOf(section, "source", SourceFile, endpointSources...),
		TLS:                section.Bool("keys", false),
		RouterState:        inifile.OneOf(section, "memory", StateNone, routerStates...),
	}
	if s.TLS && s.usesLibrary() {
		section.Errorf("keys", "clients that use the client library don't support TLS here")
	}
	for _, section := range file.Sections(faultSectionPrefix) {
		s.Faults = append(s.Faults, s.parseFault(section))
	}
	return s, file.Check()
}

const faultSectionPrefix = "trouble "

func (s *Scenario) parseFault(section *inifile.Section) Fault {
	f := Fault{
		Name:     strings.TrimPrefix(section.Name, faultSectionPrefix),
		At:       section.Duration("at", 0, 0, time.Hour),
		Duration: section.Duration("lasts", time.Second, 0, time.Hour),
		Target:   section.Int("number", 0, AllTargets, maxSimulated-1),
		Share:    section.Float("share", 0.3, 0, 1),
		Factor:   section.Float("times", 5, 1, 1000),
		Kind:     inifile.OneOf(section, "kind", "", faultKinds...),
	}
	if f.Kind.needsControlPlane() && s.EndpointSource == SourceFile {
		section.Errorf("kind", "requires a control plane, but the endpoint list comes from a file")
	}
	if f.At+f.Duration > s.Length {
		section.Errorf("lasts", "the fault ends after the run, which takes %s", s.Length)
	}
	return f
}

// usesLibrary reports whether some clients use the client library.
func (s *Scenario) usesLibrary() bool {
	return s.ClientBehavior == ClientsWithLibrary || s.ClientBehavior == ClientsMixed
}

// usesControlPlane reports whether the endpoint list comes from a fake control plane.
func (s *Scenario) usesControlPlane() bool {
	return s.EndpointSource == SourceXDS || s.EndpointSource == SourceXDSDelta
}

// persistsRouterState reports whether routers persist their state.
func (s *Scenario) persistsRouterState() bool {
	return s.RouterState != "" && s.RouterState != StateNone
}
