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

var kindNames = [...]string{"calm", "retry wave", "return after an outage", "router woken", "one tenant", "reconnect rush"}

func (k Kind) String() string { return kindNames[k] }

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
	interval  = control.Micros(100_000)
	intervals = 10
)

// bucket counts what came within a part.
type counters struct {
	firstAttempts, retries, admitted, answered, rejected, connections float64
}

// Watch is one router's view. It is for one goroutine.
type Controller struct {
	quotas              []float64 // of tenants at this router, calls a second
	maxRetryAfter       control.Micros
	random              *rand.Rand
	current             counters
	currentSince        control.Micros // of the part under way
	past                [intervals]counters
	oldest              int
	baselineIntervals   int     // parts that usual figures rest on, up to a minute of them
	baselineAttempts    float64 // first tries a second
	baselineConnections float64 // connections a second
	kind                Kind
	since               control.Micros
	quietSince          control.Micros            // since when nothing speaks for a storm; 0: something does
	returnAt            map[uint64]control.Micros // when refused calls may return, by their marks
	tenants             map[control.TenantID]*tenantState
	logLines            []string
	shedder             shedder
}

// tenant is what is known of one.
type tenantState struct {
	retries     float64 // repeats of the last seconds, fading
	decayedAt   control.Micros
	requests    [shortageIntervals]float64 // of the last parts, the one under way among them
	interval    control.Micros             // the number of that one
	retryTokens float64                    // its budget of repeats in a storm
	overQuota   bool                       // it storms
	quotaTokens float64                    // calls of its share that may come in
	refilledAt  control.Micros
}

// NewWatch begins to watch. Shares are the tenants' told shares in calls a second, of this router alone; stay is the longest pause that
// clients heed; importances are those of the workloads.
func NewController(now control.Micros, quotas, priorities []float64, maxRetryAfter control.Micros, seed uint64) *Controller {
	return &Controller{quotas: quotas, shedder: newShedder(priorities), maxRetryAfter: maxRetryAfter, random: rand.New(rand.NewPCG(seed, 0x570)), currentSince: now, returnAt: map[uint64]control.Micros{}, tenants: map[control.TenantID]*tenantState{}}
}

// The conditions of a storm, over the last second.
const (
	minRequests      = 30.0 // fewer are nobody's storm
	minRetryShare    = 0.35 // share of repeats: with three tries a call and all well it is a few hundredths
	baselineFactor   = 1.5  // times the usual first tries, all calls together
	connectionFactor = 5.0  // times the usual connections
	minConnections   = 50.0
	dominantShare    = 0.6 // share of the repeats that are one tenant's
	quietPeriod      = control.Micros(2_000_000)
	minStall         = control.Micros(500_000) // a stop that clients notice
)

// turn ends parts that are over, and decides on the storm at each end.
func (w *Controller) advance(now control.Micros) {
	for n := 0; now >= w.currentSince+interval; n++ {
		if n > 2*intervals { // nothing came for long: as if it were all past
			w.past, w.current, w.currentSince = [intervals]counters{}, counters{}, now
			break
		}
		w.past[w.oldest] = w.current
		w.oldest = (w.oldest + 1) % intervals
		w.current = counters{}
		w.currentSince += interval
		w.updateBaseline()
		w.classify(w.currentSince)
		w.shedder.move(w.kind != None && w.kind != ConnectionStorm && w.kind != TenantStorm, w.admittedTooMuch()) // calm tenants pay for none that storms
	}
}

func (w *Controller) lastSecond() (s counters) {
	for _, b := range w.past {
		s.firstAttempts += b.firstAttempts
		s.retries += b.retries
		s.answered += b.answered
		s.rejected += b.rejected
		s.connections += b.connections
	}
	return s
}

// learn follows what is usual: over a minute of calm parts, and not at all in a storm, which must not become usual.
func (w *Controller) updateBaseline() {
	const minute = 600 // parts
	if w.kind != None {
		return
	}
	s := w.lastSecond()
	w.baselineIntervals = min(w.baselineIntervals+1, minute)
	w.baselineAttempts += (s.firstAttempts - w.baselineAttempts) / float64(w.baselineIntervals)
	w.baselineConnections += (s.connections - w.baselineConnections) / float64(w.baselineIntervals)
}

// judge decides whether there is a storm, of which kind, and whether it is over.
func (w *Controller) classify(now control.Micros) {
	s := w.lastSecond()
	kind := None
	calls := s.firstAttempts + s.retries
	loud := w.updateOverQuota(now)
	switch wave := calls >= minRequests && s.retries >= minRetryShare*calls && calls >= baselineFactor*max(w.baselineAttempts, s.answered); {
	case loud || wave && w.dominantTenant(now) >= dominantShare && len(w.tenants) > 1:
		kind = TenantStorm
	case wave && s.answered > 2*s.rejected && w.kind != None:
		kind = RecoveryStorm
	case wave:
		kind = RetryStorm
	case s.connections >= minConnections && s.connections >= connectionFactor*w.baselineConnections && w.baselineConnections > 0:
		kind = ConnectionStorm
	}
	switch {
	case kind != None && w.kind == None:
		w.enter(now, kind)
	case kind != None:
		if w.quietSince = 0; kind != w.kind && w.kind != AfterStall {
			w.logf("the storm is now: %s", kind)
			w.kind = kind
		}
	case w.kind != None && w.quietSince == 0:
		w.quietSince = now
	case w.kind != None && now >= w.quietSince+quietPeriod:
		w.logf("the storm (%s) is over after %d ms", w.kind, (now-w.since)/1000)
		w.kind, w.quietSince = None, 0
		clear(w.returnAt)
	}
}

func (w *Controller) enter(now control.Micros, kind Kind) {
	s := w.lastSecond()
	w.kind, w.since, w.quietSince = kind, now, 0
	w.logf("a storm: %s; %.0f first tries and %.0f repeats in the last second, usual are %.0f; %.0f were answered", kind, s.firstAttempts, s.retries, w.baselineAttempts, s.answered)
}

// Where this part of the calls of the last half second is refused or piles up here, capacity is short, and shares count. Refusals alone
// come only once a job could not be in time, when all that came meanwhile is in hand already.
const (
	shortageShare     = 0.2
	shortageIntervals = 5
)

// scarce tells whether capacity is short for all that comes.
func (w *Controller) capacityShort() bool {
	s := w.lastHalfSecond()
	return unanswered(s.firstAttempts+s.retries, s.answered)
}

// pressed tells whether it is short for what is let in.
func (w *Controller) admittedTooMuch() bool {
	s := w.lastHalfSecond()
	return unanswered(s.admitted, s.answered)
}

func unanswered(calls, answered float64) bool {
	return calls >= minRequests*shortageIntervals/intervals && calls-answered >= shortageShare*calls
}

// lately adds up the last half second.
func (w *Controller) lastHalfSecond() (s counters) {
	for i := range shortageIntervals {
		b := w.past[(w.oldest+intervals-1-i)%intervals]
		s.firstAttempts, s.retries, s.admitted, s.answered = s.firstAttempts+b.firstAttempts, s.retries+b.retries, s.admitted+b.admitted, s.answered+b.answered
	}
	return s
}

// beyond is how far over its share a tenant is that storms, and deviations by how many of a count's deviations more: twice is more than a
// usual day's ups and downs, three deviations more than those of half a second.
const (
	quotaFactor     = 2.0
	quotaDeviations = 3.0
)

// came counts a call of a tenant and gives how many came within the last parts.
func (t *tenantState) count(now control.Micros, calls float64) (sum float64) {
	for n := now / interval; t.interval < n; t.interval++ {
		if t.interval < n-shortageIntervals {
			t.interval = n - shortageIntervals - 1
			clear(t.requests[:])
		}
		t.requests[(t.interval+1)%shortageIntervals] = 0
	}
	t.requests[t.interval%shortageIntervals] += calls
	for _, c := range t.requests {
		sum += c
	}
	return sum
}

// loud tells whether capacity is short while some tenants ask for far more than their told share, marked or not, and marks those. One
// that storms is let off once it is within its share.
func (w *Controller) updateOverQuota(now control.Micros) (any bool) {
	scarce := w.capacityShort()
	for id, t := range w.tenants {
		if int(id) >= len(w.quotas) || len(w.tenants) < 2 {
			continue
		}
		came, usual := t.count(now, 0), w.quotas[id]*shortageIntervals/intervals
		switch {
		case scarce && came > quotaFactor*usual+quotaDeviations*math.Sqrt(usual):
			if !t.overQuota {
				t.overQuota, t.quotaTokens, t.refilledAt = true, quotaBurst*w.quotas[id], now
			}
		case came <= usual:
			t.overQuota = false
		}
		any = any || t.overQuota
	}
	return any
}

// burst is for how many seconds of its share the calls of a tenant that storms may come at once.
const quotaBurst = 0.5

// within tells whether a call of a tenant that storms is within its share.
func (w *Controller) takeQuotaToken(now control.Micros, id control.TenantID, t *tenantState) bool {
	share := w.quotas[id]
	t.quotaTokens = min(max(1, quotaBurst*share), t.quotaTokens+share*float64(now-t.refilledAt)/1e6)
	t.refilledAt = now
	if t.quotaTokens < 1 {
		return false
	}
	t.quotaTokens--
	return true
}

// mostly is the share of the repeats that belongs to the tenant with the most.
func (w *Controller) dominantTenant(now control.Micros) float64 {
	most, all := 0.0, 0.0
	for _, t := range w.tenants {
		t.decay(now)
		most, all = max(most, t.retries), all+t.retries
	}
	if all == 0 {
		return 0
	}
	return most / all
}

// fade halves a tenant's repeats each second.
func (t *tenantState) decay(now control.Micros) {
	for ; now-t.decayedAt >= 1_000_000; t.decayedAt += 1_000_000 {
		if t.retries /= 2; t.retries < 0.01 {
			t.retries, t.decayedAt = 0, now
			return
		}
	}
}

// mostTenants bounds those that are told apart; the rest count as one.
const maxTenants = 1000

func (w *Controller) tenant(now control.Micros, id control.TenantID) *tenantState {
	t := w.tenants[id]
	if t == nil {
		if len(w.tenants) >= maxTenants {
			id = ^control.TenantID(0)
			if t = w.tenants[id]; t != nil {
				return t
			}
		}
		t = &tenantState{decayedAt: now, retryTokens: maxRetryTokens}
		w.tenants[id] = t
	}
	t.decay(now)
	return t
}

// What is let in while a storm lasts. First tries are: what comes first is demand, and only demand that the module sees has copies
// loaded; to let in no more than servers answered just now starved a fleet that had to load (docs/overload.md). Repeats of clients that
// heeded their pause are let in too. What comes again without a pause, or without a mark by which that could be told, has a tenth of
// its tenant's first tries.
const (
	retryTokensPerRequest = 0.1
	maxRetryTokens        = 5.0
	earlyTolerance        = control.Micros(50_000) // clients' clocks and ways differ by less
	maxKeys               = 100_000                // some 4 MB; more refused calls than that are not told apart
)

// Arrived takes in a call and decides whether it is let in.
func (w *Controller) Admit(now control.Micros, a Request) Decision {
	w.advance(now)
	v := w.decide(now, a)
	if v.Admitted {
		w.current.admitted++
	}
	return v
}

func (w *Controller) decide(now control.Micros, a Request) Decision {
	t := w.tenant(now, a.Tenant)
	t.count(now, 1)
	if a.IsRetry {
		w.current.retries++
		t.retries++
	} else {
		w.current.firstAttempts++
		t.retryTokens = min(maxRetryTokens, t.retryTokens+retryTokensPerRequest)
	}
	if w.kind == TenantStorm && t.overQuota && !w.takeQuotaToken(now, a.Tenant, t) {
		return Decision{Reason: w.kind, RetryAfter: w.reject(now, w.maxRetryAfter, 0)}
	}
	due, refused := w.returnAt[a.KeyHash]
	refused = refused && a.KeyHash != 0
	switch {
	case w.kind == None || w.kind == ConnectionStorm:
		return Decision{Admitted: true}
	case !refused && w.shedder.sheds(now, a.Importance, a.Function):
		return Decision{Reason: w.kind, RetryAfter: w.reject(now, w.maxRetryAfter, a.KeyHash)}
	case !a.IsRetry && !refused:
		return Decision{Admitted: true}
	case refused && now < due-earlyTolerance: // the time that it was given stands: to put it off would punish its next, later one
		w.current.rejected++
		return Decision{Reason: w.kind, RetryAfter: due - now}
	case refused:
		delete(w.returnAt, a.KeyHash)
		return Decision{Admitted: true}
	case t.retryTokens < 1:
		return Decision{Reason: w.kind, RetryAfter: w.reject(now, w.maxRetryAfter, a.KeyHash)}
	}
	t.retryTokens--
	return Decision{Admitted: true}
}

// refuse gives a call a time of its own to return at, in the later half of the pause, so that those who were refused together don't
// meet again; and keeps it.
func (w *Controller) reject(now, stay control.Micros, mark uint64) control.Micros {
	w.current.rejected++
	stay = max(1, stay/2+control.Micros(w.random.Int64N(max(1, int64(stay/2)))))
	if mark != 0 {
		if len(w.returnAt) >= maxKeys {
			for m, at := range w.returnAt {
				if at < now {
					delete(w.returnAt, m)
				}
			}
		}
		if len(w.returnAt) < maxKeys {
			w.returnAt[mark] = now + stay
		}
	}
	return stay
}

// Spread is the pause that a refusal of the module's own carries: in a storm each gets another.
func (w *Controller) RecordRejection(now control.Micros, stay control.Micros, mark uint64) control.Micros {
	w.advance(now)
	if w.kind == None || stay == 0 {
		w.current.rejected++
		return stay
	}
	return w.reject(now, stay, mark)
}

// Answered takes in that a call was finished.
func (w *Controller) RecordAnswer(now control.Micros) {
	w.advance(now)
	w.current.answered++
}

// Connected takes in a client's connection.
func (w *Controller) RecordConnection(now control.Micros) {
	w.advance(now)
	w.current.connections++
}

// Woke takes in that this router stood still: what it finds came at another time.
func (w *Controller) RecordStall(now, late control.Micros) {
	if late < minStall {
		return
	}
	w.currentSince, w.current = now, counters{} // what came meanwhile is no rate
	if w.kind == None {
		w.enter(now, AfterStall)
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
func (w *Controller) Baseline() Baseline {
	return Baseline{w.baselineAttempts, w.baselineConnections, w.kind}
}

// lately is how old a storm may be that a restarted router still takes for one: a restart takes seconds.
const maxRestoreAge = control.Micros(30_000_000)

// Recall takes them in at a router's start, with their age. A storm that was on lately goes on until it proves to be over.
func (w *Controller) Restore(now control.Micros, u Baseline, age control.Micros) {
	w.baselineAttempts, w.baselineConnections, w.baselineIntervals = u.FirstAttempts, u.Connections, 600
	if u.Kind != None && age < maxRestoreAge {
		w.enter(now, u.Kind)
	}
}

func (w *Controller) logf(format string, args ...any) {
	w.logLines = append(w.logLines, fmt.Sprintf(format, args...))
}

// Notes gives what is to be told operators since the last call.
func (w *Controller) LogLines() []string {
	notes := w.logLines
	w.logLines = nil
	return notes
}
