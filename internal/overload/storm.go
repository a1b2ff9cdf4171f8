// Package overload sees a storm of calls as it forms, tells its kind, and damps it: which calls are let in while it lasts, and when
// those that are not should return. It is free of I/O and clocks; chance comes from a seeded generator. What becomes of a job that is
// let in is the module's, here as ever.
//
// A storm is not demand that rises: first tries alone never make one. It is made of calls that come again because earlier ones
// came to nothing, all at the same time.
package overload

import (
	"fmt"
	"math"
	"math/rand/v2"

	"hollymast/control"
)

// Kind is what kind of storm it is.
type Kind uint8

// The kinds.
const (
	None            Kind = iota
	RetryStorm           // calls come again faster than they are answered
	RecoveryStorm        // something came back: what was held meets what comes again
	AfterStall           // this router stood still and finds everything at once
	TenantStorm          // one tenant's calls come again, the others are calm
	ConnectionStorm      // connections are opened all at once
)

var names = [...]string{"calm", "retry wave", "return after an outage", "router woken", "one tenant", "reconnect rush"}

func (k Kind) String() string { return names[k] }

// Arrival is a call as it comes.
type Request struct {
	Tenant  control.TenantID
	IsRetry bool   // its client says that it asks again
	KeyHash uint64 // of its effect, hashed; 0: none

	Function   control.FunctionID
	Importance float64 // of its workload
}

// Verdict is what is done with it.
type Decision struct {
	Admitted   bool
	Reason     Kind           // of a refusal
	RetryAfter control.Micros // of a refusal: when to return; each is given another time
}

// The span of what is looked at, and of its parts: retries without a pause show within one, a second tells a wave from a burst.
const (
	part  = control.Micros(100_000)
	parts = 10
)

// bucket counts what came within a part.
type bucket struct {
	first, repeat, admitted, answered, refused, connections float64
}

// Watch is one router's view. It is for one goroutine.
type Controller struct {
	shares  []float64 // of tenants at this router, calls a second
	stay    control.Micros
	chance  *rand.Rand
	now     bucket
	begun   control.Micros // of the part under way
	past    [parts]bucket
	at      int
	learned int     // parts that usual figures rest on, up to a minute of them
	usual   float64 // first tries a second
	usualC  float64 // connections a second
	kind    Kind
	since   control.Micros
	quiet   control.Micros            // since when nothing speaks for a storm; 0: something does
	due     map[uint64]control.Micros // when refused calls may return, by their marks
	tenants map[control.TenantID]*tenant
	notes   []string
	gate    gate
}

// tenant is what is known of one.
type tenant struct {
	repeat  float64 // repeats of the last seconds, fading
	faded   control.Micros
	calls   [shortParts]float64 // of the last parts, the one under way among them
	part    control.Micros      // the number of that one
	retries float64             // its budget of repeats in a storm
	loud    bool                // it storms
	fair    float64             // calls of its share that may come in
	filled  control.Micros
}

// NewWatch begins to watch. Shares are the tenants' told shares in calls a second, of this router alone; stay is the longest pause that
// clients heed; importances are those of the workloads.
func NewController(now control.Micros, shares, importances []float64, stay control.Micros, seed uint64) *Controller {
	return &Controller{shares: shares, gate: newGate(importances), stay: stay, chance: rand.New(rand.NewPCG(seed, 0x570)), begun: now, due: map[uint64]control.Micros{}, tenants: map[control.TenantID]*tenant{}}
}

// The conditions of a storm, over the last second.
const (
	leastCalls = 30.0 // fewer are nobody's storm
	ofRepeats  = 0.35 // share of repeats: with three tries a call and all well it is a few hundredths
	overUsual  = 1.5  // times the usual first tries, all calls together
	rushTimes  = 5.0  // times the usual connections
	leastRush  = 50.0
	oneTenant  = 0.6 // share of the repeats that are one tenant's
	calmAfter  = control.Micros(2_000_000)
	wokenLate  = control.Micros(500_000) // a stop that clients notice
)

// turn ends parts that are over, and decides on the storm at each end.
func (w *Controller) turn(now control.Micros) {
	for n := 0; now >= w.begun+part; n++ {
		if n > 2*parts { // nothing came for long: as if it were all past
			w.past, w.now, w.begun = [parts]bucket{}, bucket{}, now
			break
		}
		w.past[w.at] = w.now
		w.at = (w.at + 1) % parts
		w.now = bucket{}
		w.begun += part
		w.learn()
		w.judge(w.begun)
		w.gate.move(w.kind != None && w.kind != ConnectionStorm && w.kind != TenantStorm, w.pressed()) // calm tenants pay for none that storms
	}
}

func (w *Controller) second() (s bucket) {
	for _, b := range w.past {
		s.first += b.first
		s.repeat += b.repeat
		s.answered += b.answered
		s.refused += b.refused
		s.connections += b.connections
	}
	return s
}

// learn follows what is usual: over a minute of calm parts, and not at all in a storm, which must not become usual.
func (w *Controller) learn() {
	const minute = 600 // parts
	if w.kind != None {
		return
	}
	s := w.second()
	w.learned = min(w.learned+1, minute)
	w.usual += (s.first - w.usual) / float64(w.learned)
	w.usualC += (s.connections - w.usualC) / float64(w.learned)
}

// judge decides whether there is a storm, of which kind, and whether it is over.
func (w *Controller) judge(now control.Micros) {
	s := w.second()
	kind := None
	calls := s.first + s.repeat
	loud := w.loud(now)
	switch wave := calls >= leastCalls && s.repeat >= ofRepeats*calls && calls >= overUsual*max(w.usual, s.answered); {
	case loud || wave && w.mostly(now) >= oneTenant && len(w.tenants) > 1:
		kind = TenantStorm
	case wave && s.answered > 2*s.refused && w.kind != None:
		kind = RecoveryStorm
	case wave:
		kind = RetryStorm
	case s.connections >= leastRush && s.connections >= rushTimes*w.usualC && w.usualC > 0:
		kind = ConnectionStorm
	}
	switch {
	case kind != None && w.kind == None:
		w.begin(now, kind)
	case kind != None:
		if w.quiet = 0; kind != w.kind && w.kind != AfterStall {
			w.note("the storm is now: %s", kind)
			w.kind = kind
		}
	case w.kind != None && w.quiet == 0:
		w.quiet = now
	case w.kind != None && now >= w.quiet+calmAfter:
		w.note("the storm (%s) is over after %d ms", w.kind, (now-w.since)/1000)
		w.kind, w.quiet = None, 0
		clear(w.due)
	}
}

func (w *Controller) begin(now control.Micros, kind Kind) {
	s := w.second()
	w.kind, w.since, w.quiet = kind, now, 0
	w.note("a storm: %s; %.0f first tries and %.0f repeats in the last second, usual are %.0f; %.0f were answered", kind, s.first, s.repeat, w.usual, s.answered)
}

// Where this part of the calls of the last half second is refused or piles up here, capacity is short, and shares count. Refusals alone
// come only once a job could not be in time, when all that came meanwhile is in hand already.
const (
	short      = 0.2
	shortParts = 5
)

// scarce tells whether capacity is short for all that comes.
func (w *Controller) scarce() bool {
	s := w.lately()
	return lacks(s.first+s.repeat, s.answered)
}

// pressed tells whether it is short for what is let in.
func (w *Controller) pressed() bool {
	s := w.lately()
	return lacks(s.admitted, s.answered)
}

func lacks(calls, answered float64) bool {
	return calls >= leastCalls*shortParts/parts && calls-answered >= short*calls
}

// lately adds up the last half second.
func (w *Controller) lately() (s bucket) {
	for i := range shortParts {
		b := w.past[(w.at+parts-1-i)%parts]
		s.first, s.repeat, s.admitted, s.answered = s.first+b.first, s.repeat+b.repeat, s.admitted+b.admitted, s.answered+b.answered
	}
	return s
}

// beyond is how far over its share a tenant is that storms, and deviations by how many of a count's deviations more: twice is more than a
// usual day's ups and downs, three deviations more than those of half a second.
const (
	beyond     = 2.0
	deviations = 3.0
)

// came counts a call of a tenant and gives how many came within the last parts.
func (t *tenant) came(now control.Micros, calls float64) (sum float64) {
	for n := now / part; t.part < n; t.part++ {
		if t.part < n-shortParts {
			t.part = n - shortParts - 1
			clear(t.calls[:])
		}
		t.calls[(t.part+1)%shortParts] = 0
	}
	t.calls[t.part%shortParts] += calls
	for _, c := range t.calls {
		sum += c
	}
	return sum
}

// loud tells whether capacity is short while some tenants ask for far more than their told share, marked or not, and marks those. One
// that storms is let off once it is within its share.
func (w *Controller) loud(now control.Micros) (any bool) {
	scarce := w.scarce()
	for id, t := range w.tenants {
		if int(id) >= len(w.shares) || len(w.tenants) < 2 {
			continue
		}
		came, usual := t.came(now, 0), w.shares[id]*shortParts/parts
		switch {
		case scarce && came > beyond*usual+deviations*math.Sqrt(usual):
			if !t.loud {
				t.loud, t.fair, t.filled = true, burst*w.shares[id], now
			}
		case came <= usual:
			t.loud = false
		}
		any = any || t.loud
	}
	return any
}

// burst is for how many seconds of its share the calls of a tenant that storms may come at once.
const burst = 0.5

// within tells whether a call of a tenant that storms is within its share.
func (w *Controller) within(now control.Micros, id control.TenantID, t *tenant) bool {
	share := w.shares[id]
	t.fair = min(max(1, burst*share), t.fair+share*float64(now-t.filled)/1e6)
	t.filled = now
	if t.fair < 1 {
		return false
	}
	t.fair--
	return true
}

// mostly is the share of the repeats that belongs to the tenant with the most.
func (w *Controller) mostly(now control.Micros) float64 {
	most, all := 0.0, 0.0
	for _, t := range w.tenants {
		t.fade(now)
		most, all = max(most, t.repeat), all+t.repeat
	}
	if all == 0 {
		return 0
	}
	return most / all
}

// fade halves a tenant's repeats each second.
func (t *tenant) fade(now control.Micros) {
	for ; now-t.faded >= 1_000_000; t.faded += 1_000_000 {
		if t.repeat /= 2; t.repeat < 0.01 {
			t.repeat, t.faded = 0, now
			return
		}
	}
}

// mostTenants bounds those that are told apart; the rest count as one.
const mostTenants = 1000

func (w *Controller) tenant(now control.Micros, id control.TenantID) *tenant {
	t := w.tenants[id]
	if t == nil {
		if len(w.tenants) >= mostTenants {
			id = ^control.TenantID(0)
			if t = w.tenants[id]; t != nil {
				return t
			}
		}
		t = &tenant{faded: now, retries: tenantBurst}
		w.tenants[id] = t
	}
	t.fade(now)
	return t
}

// What is let in while a storm lasts. First tries are: what comes first is demand, and only demand that the module sees has copies
// loaded; to let in no more than servers answered just now starved a fleet that had to load (docs/overload.md). Repeats of clients that
// heeded their pause are let in too. What comes again without a pause, or without a mark by which that could be told, has a tenth of
// its tenant's first tries.
const (
	ofTenant    = 0.1
	tenantBurst = 5.0
	early       = control.Micros(50_000) // clients' clocks and ways differ by less
	mostMarks   = 100_000                // some 4 MB; more refused calls than that are not told apart
)

// Arrived takes in a call and decides whether it is let in.
func (w *Controller) Admit(now control.Micros, a Request) Decision {
	w.turn(now)
	v := w.admit(now, a)
	if v.Admitted {
		w.now.admitted++
	}
	return v
}

func (w *Controller) admit(now control.Micros, a Request) Decision {
	t := w.tenant(now, a.Tenant)
	t.came(now, 1)
	if a.IsRetry {
		w.now.repeat++
		t.repeat++
	} else {
		w.now.first++
		t.retries = min(tenantBurst, t.retries+ofTenant)
	}
	if w.kind == TenantStorm && t.loud && !w.within(now, a.Tenant, t) {
		return Decision{Reason: w.kind, RetryAfter: w.refuse(now, w.stay, 0)}
	}
	due, refused := w.due[a.KeyHash]
	refused = refused && a.KeyHash != 0
	switch {
	case w.kind == None || w.kind == ConnectionStorm:
		return Decision{Admitted: true}
	case !refused && w.gate.holds(now, a.Importance, a.Function):
		return Decision{Reason: w.kind, RetryAfter: w.refuse(now, w.stay, a.KeyHash)}
	case !a.IsRetry && !refused:
		return Decision{Admitted: true}
	case refused && now < due-early: // the time that it was given stands: to put it off would punish its next, later one
		w.now.refused++
		return Decision{Reason: w.kind, RetryAfter: due - now}
	case refused:
		delete(w.due, a.KeyHash)
		return Decision{Admitted: true}
	case t.retries < 1:
		return Decision{Reason: w.kind, RetryAfter: w.refuse(now, w.stay, a.KeyHash)}
	}
	t.retries--
	return Decision{Admitted: true}
}

// refuse gives a call a time of its own to return at, in the later half of the pause, so that those who were refused together don't
// meet again; and keeps it.
func (w *Controller) refuse(now, stay control.Micros, mark uint64) control.Micros {
	w.now.refused++
	stay = max(1, stay/2+control.Micros(w.chance.Int64N(max(1, int64(stay/2)))))
	if mark != 0 {
		if len(w.due) >= mostMarks {
			for m, at := range w.due {
				if at < now {
					delete(w.due, m)
				}
			}
		}
		if len(w.due) < mostMarks {
			w.due[mark] = now + stay
		}
	}
	return stay
}

// Spread is the pause that a refusal of the module's own carries: in a storm each gets another.
func (w *Controller) RecordRejection(now control.Micros, stay control.Micros, mark uint64) control.Micros {
	w.turn(now)
	if w.kind == None || stay == 0 {
		w.now.refused++
		return stay
	}
	return w.refuse(now, stay, mark)
}

// Answered takes in that a call was finished.
func (w *Controller) RecordAnswer(now control.Micros) {
	w.turn(now)
	w.now.answered++
}

// Connected takes in a client's connection.
func (w *Controller) RecordConnection(now control.Micros) {
	w.turn(now)
	w.now.connections++
}

// Woke takes in that this router stood still: what it finds came at another time.
func (w *Controller) RecordStall(now, late control.Micros) {
	if late < wokenLate {
		return
	}
	w.begun, w.now = now, bucket{} // what came meanwhile is no rate
	if w.kind == None {
		w.begin(now, AfterStall)
	}
}

// Kind tells what is on.
func (w *Controller) Kind() Kind { return w.kind }

// Usual are the figures that outlast a router, so that one that is started in a storm knows what is usual.
type Baseline struct {
	FirstAttempts float64 `cbor:"First"` // a second
	Connections   float64 `cbor:"Connections"`
	Kind          Kind    `cbor:"Storm"` // that was on
}

// Remember gives them.
func (w *Controller) Baseline() Baseline { return Baseline{w.usual, w.usualC, w.kind} }

// lately is how old a storm may be that a restarted router still takes for one: a restart takes seconds.
const lately = control.Micros(30_000_000)

// Recall takes them in at a router's start, with their age. A storm that was on lately goes on until it proves to be over.
func (w *Controller) Restore(now control.Micros, u Baseline, age control.Micros) {
	w.usual, w.usualC, w.learned = u.FirstAttempts, u.Connections, 600
	if u.Kind != None && age < lately {
		w.begin(now, u.Kind)
	}
}

func (w *Controller) note(format string, args ...any) {
	w.notes = append(w.notes, fmt.Sprintf(format, args...))
}

// Notes gives what is to be told operators since the last call.
func (w *Controller) LogLines() []string {
	notes := w.notes
	w.notes = nil
	return notes
}
