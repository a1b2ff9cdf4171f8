// Package chaostest plays days: real router processes, stand-ins and clients on loopback, with scripted troubles, judged by
// what crossed the sockets.
package chaostest

import (
	"cmp"
	_ "embed"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hollymast/internal/inifile"
)

//go:embed bad.ini
var badDay []byte

// Day is what is played.
type Day struct {
	Name      string
	Seed      uint64
	Jobs      int
	Length    time.Duration
	Routers   int
	Workers   int
	Functions int
	Ration    bool
	Orders    bool // only orders load
	Troubles  []Trouble
	Source    string   // of the list: one of Sources
	Keys      bool     // all connections are secret, and certificates are renewed meanwhile
	Manners   string   // of clients: one of Manners
	Clients   int      // that behave as the library; each has connections, marks and a budget of its own
	Damped    bool     // routers damp storms
	Within    bool     // the tenant of a trouble one_tenant keeps to its share: what the others have then is what a storm is held against
	Memory    string   // what routers remember after a restart: one of Memories
	Record    string   // folder for the routers' recordings, one in it for each; empty: none
	mistold   []string // pairs of settings and what routers are told instead: plants breaches
}

// Trouble is something that goes wrong for a time.
type Trouble struct {
	Name   string
	Kind   string
	At     time.Duration
	Lasts  time.Duration
	Number int     // of the server or router; -1: all
	Share  float64 // of jobs, where the kind has one
	Times  float64 // how much slower
}

// The kinds, in the words of a bench day's troubles, and those of single connections.
var kinds = []string{"hang", "crash", "vanish", "pauses", "answer_lost", "origin_slow", "origin_stopped", "hot_key", "scan",
	"discovery_stale", "deploy", "give_up", "retry_abuse", "balancer_stall", "balancer_roll", "balancer_kill", "ageing",
	"reset_before", "reset_after", "refuse", "one_tenant", "rise", "plane_lost", "plane_half", "plane_cut", "plane_silent"}

// Sources are where routers have the list from: a file, or a pretend control plane in either variant.
var Sources = []string{"file", "xds", "delta"}

// Memories are what routers of a day may remember: nothing; what they sent, and so what limits them, alone; all; that as if a month ago; what was learned on
// quite another day.
var Memories = []string{"none", "limits", "kept", "old", "other"}

// What one machine bears as processes and listeners on loopback, and what the emulator's memory does.
const (
	mostRouters  = 64
	mostWorkers  = 256
	mostEmulated = 5000
)

// ReadDay reads a day's script; nil text means the built-in bad day. Flags may change its size afterwards.
func ReadDay(name string, text []byte) (*Day, error) {
	if text == nil {
		name, text = "bad.ini", badDay
	}
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	s := f.Section("day")
	d := &Day{Name: s.String("name", name), Jobs: s.Int("jobs", 5000, 1, 10_000_000), Length: s.Duration("length", 20*time.Second, time.Second, time.Hour),
		Routers: s.Int("routers", 3, 1, mostEmulated), Workers: s.Int("workers", 12, 1, mostEmulated), Functions: s.Int("functions", 60, 1, 100_000),
		Ration: s.Bool("ration", true)}
	d.Orders = s.Bool("orders_only", false)
	d.Manners, d.Damped = Manners[s.OneOf("manners", "usual", Manners...)], s.Bool("damp_storms", true)
	d.Clients = s.Int("clients", 20, 1, 20_000)
	d.Source, d.Keys = Sources[s.OneOf("source", "file", Sources...)], s.Bool("keys", false)
	if d.Keys && (d.Manners == "good" || d.Manners == "mixed") {
		s.Errorf("keys", "clients that behave as the library have no keys here")
	}
	d.Memory = Memories[s.OneOf("memory", "none", Memories...)]
	for _, s := range f.Sections("trouble ") {
		t := Trouble{Name: strings.TrimPrefix(s.Name, "trouble "), At: s.Duration("at", 0, 0, time.Hour), Lasts: s.Duration("lasts", time.Second, 0, time.Hour),
			Number: s.Int("number", 0, -1, mostEmulated-1), Share: s.Float("share", 0.3, 0, 1), Times: s.Float("times", 5, 1, 1000)}
		t.Kind = kinds[s.OneOf("kind", "", kinds...)]
		if strings.HasPrefix(t.Kind, "plane_") && d.Source == "file" {
			s.Errorf("kind", "there is no control plane: the list comes from a file")
		}
		if t.At+t.Lasts > d.Length {
			s.Errorf("lasts", "ends after the day's %s", d.Length)
		}
		d.Troubles = append(d.Troubles, t)
	}
	return d, f.Check()
}

// workload is one row of the day's mix of jobs.
type workload struct {
	name, effect, group string
	importance          float64
	share               float64
	target, limit       time.Duration
	window              time.Duration
}

var mix = []workload{
	{"forecast", "restartable", "", 1, 0.55, 400 * time.Millisecond, 4 * time.Second, 0},
	{"pickup-booking", "fingerprinted", "fleet", 2, 0.2, 300 * time.Millisecond, 3 * time.Second, 5 * time.Second},
	{"label", "fingerprinted", "zone", 1, 0.1, 300 * time.Millisecond, 6 * time.Second, 2 * time.Second},
	{"ticket", "run-once", "", 2, 0.15, 400 * time.Millisecond, 3 * time.Second, 0},
}

// call is one effect that a client wants.
type call struct {
	at       time.Duration
	router   int
	workload *workload
	function string
	patience time.Duration
	number   int
	hasty    bool // leaves early and asks again at once
	leaves   time.Duration
	unmarked bool // its further tries look like first ones
	loud     bool // of the one tenant that storms
	dropped  bool // not made, so that its tenant keeps to its share
	quiet    bool // of that tenant, while it keeps to its share
}

// tenant is whose call it is.
func (c *call) tenant() string {
	if c.loud || c.quiet {
		return "loud"
	}
	return "calm"
}

// loudShare is the told share of the tenant that may storm, in jobs a second.
const loudShare = 20

// schedule draws the day's calls: the same for the same seed.
func (d *Day) schedule() []call {
	chance := rand.New(rand.NewPCG(d.Seed, 1))
	calls := make([]call, d.Jobs)
	at := 0.0
	for i := range calls {
		at += chance.ExpFloat64()
		calls[i] = call{at: time.Duration(at * float64(time.Second)), number: i, router: chance.IntN(d.Routers)}
	}
	scale := float64(d.Length) / (at * float64(time.Second))
	for i := range calls {
		calls[i].at = time.Duration(float64(calls[i].at) * scale)
	}
	calls = d.risen(calls, chance)
	zipf := rand.NewZipf(chance, 1.2, 4, uint64(d.Functions-1))
	for i := range calls {
		c := &calls[i]
		u := chance.Float64()
		for k := range mix {
			if c.workload = &mix[k]; u < mix[k].share {
				break
			}
			u -= mix[k].share
		}
		f := zipf.Uint64()
		c.function = c.workload.name + "-" + itoa(int(f))
		c.patience = time.Duration((0.5 + 0.5*chance.Float64()) * float64(c.workload.limit))
		hit, leaves := chance.Float64(), chance.Float64()
		if leaves < 0.005 { // some clients go at any time
			c.leaves = time.Duration(chance.Float64() * 0.2 * float64(time.Second))
		}
		for _, t := range d.Troubles {
			if c.at < t.At || c.at >= t.At+t.Lasts || hit >= t.Share {
				continue
			}
			switch t.Kind {
			case "hot_key":
				c.workload, c.function = &mix[0], "forecast-hot-"+t.Name
			case "scan":
				c.workload, c.function = &mix[0], "forecast-once-"+itoa(c.number)
			case "give_up":
				c.patience = c.workload.target
			case "one_tenant":
				c.loud = true
				if d.Within {
					c.loud, c.dropped = false, hit >= loudShare/(float64(d.Jobs)/d.Length.Seconds())
					c.quiet = true
				}
			case "retry_abuse":
				c.patience, c.hasty = c.workload.target/2, true
			}
		}
	}
	return slices.DeleteFunc(calls, func(c call) bool { return c.dropped })
}

// risen adds the calls of times in which demand rises: first tries, as many more as the trouble's multiple says.
func (d *Day) risen(calls []call, chance *rand.Rand) []call {
	for _, t := range d.Troubles {
		if t.Kind != "rise" {
			continue
		}
		more := (t.Times - 1) * float64(d.Jobs) * t.Lasts.Seconds() / d.Length.Seconds()
		for range int(more) {
			calls = append(calls, call{at: t.At + time.Duration(chance.Float64()*float64(t.Lasts)), number: len(calls), router: chance.IntN(d.Routers)})
		}
	}
	slices.SortStableFunc(calls, func(a, b call) int { return cmp.Compare(a.at, b.at) })
	return calls
}
