package control

import (
	"fmt"
	"slices"
)

// Snapshot is the whole state of a balancer in plain values; a balancer restored from it makes the same decisions from
// there on. Functions are in the order of first use, servers by ascending ID.
type Snapshot struct {
	Deployment     Deployment         `json:"Told"`
	Random         uint64             `json:"Chance"`
	StartedAt      Micros             `json:"Started"`
	Servers        []ServerSnapshot   `json:"Servers"`
	Functions      []FunctionSnapshot `json:"Functions"`
	ExecTimes      []Samples          `json:"Execs"`
	Timeouts       []Samples          `json:"Patience"`
	QuotaDebt      []Micros           `json:"Due"`
	Latencies      Samples            `json:"Latencies"`
	LoadTimes      Samples            `json:"Loads"`
	Queueing       Samples            `json:"Strain"`
	LoadCommands   []Micros           `json:"Orders"`
	Admitted       []Micros           `json:"Taken"`
	Cancellations  []Cancellation     `json:"Recalls"`
	ServerEvents   []string           `json:"Notes"` // ServerEvent.String
	Answers        []Micros           `json:"Answers"`
	AnswerRate     float64            `json:"Rate"`
	ObservationTTL Micros             `json:"Fresh"`
	// nil in checkpoints of older builds: the capacity then counts as unchanged over the time of Answers.
	CapacityHistory *CapacityHistorySnapshot `json:"Ready,omitempty" golden:"joined"`
	PendingChecks   []int                    `json:"Waiting"` // positions in Functions
	RecentFunctions []int                    `json:"Recent"`  // positions in Functions
	PruneCursor     int                      `json:"Tidied"`
	Subscribed      bool                     `json:"Watching"`
}

// CapacityHistorySnapshot is the capacity of the ready servers over the time in which answers are counted.
type CapacityHistorySnapshot struct {
	Periods []CapacityPeriod `json:"Periods"` // in order of time
	AsOf    Micros           `json:"AsOf"`
	// Mean weight of the ready servers when the answer rate was last computed.
	MeanWeight float64 `json:"Weight"`
}

func (h *capacityHistory) snapshot() *CapacityHistorySnapshot {
	if h.asOf == 0 {
		return nil
	}
	return &CapacityHistorySnapshot{slices.Clone(h.periods), h.asOf, h.meanWeight}
}

func (s *CapacityHistorySnapshot) restore() capacityHistory {
	if s == nil {
		return capacityHistory{}
	}
	return capacityHistory{slices.Clone(s.Periods), s.AsOf, s.MeanWeight}
}

// ServerSnapshot is the state of one server.
type ServerSnapshot struct {
	Endpoint           Endpoint           `json:"Listing"`
	Listed             bool               `json:"Listed"`
	LastListed         Micros             `json:"Left"`
	LastAnswer         Micros             `json:"Heard"`
	InFlight           []InFlightSnapshot `json:"Flights"`
	SlowStartSends     []Micros           `json:"Sent"`
	Report             LoadReport         `json:"Report"`
	ReportedAt         Micros             `json:"Reported"`
	BackoffUntil       Micros             `json:"AvoidUntil"`
	LoadBackoffUntil   Micros             `json:"LoadsAfter"`
	ConcurrencyLimit   float64            `json:"Size"`
	Running            int                `json:"Busy"`
	LimitLoweredAt     Micros             `json:"Narrowed"`
	Queueing           Samples            `json:"Strain"`
	Ejected            bool               `json:"Suspect"`
	ProbeAt            Micros             `json:"TrialAt"`
	Ejections          int                `json:"Setbacks"`
	Rejections         int                `json:"Fulls"`
	ConnectionFailures int                `json:"Breaks"`
}

// InFlightSnapshot is one attempt in flight, with the ID of its request.
type InFlightSnapshot struct {
	Request  RequestID `json:"Job"`
	Attempt  AttemptID `json:"No"`
	SentAt   Micros    `json:"Sent"`
	ToLoaded bool      `json:"Warm"`
}

// FunctionSnapshot is the state of one function.
type FunctionSnapshot struct {
	ID             FunctionID         `json:"ID"`
	Lanes          int                `json:"Lanes"`
	LastRequest    *RequestSnapshot   `json:"Last"`
	LoadsDue       int                `json:"Due"`
	Instances      []InstanceSnapshot `json:"Instances"`
	ExecTimes      Samples            `json:"Execs"`
	Delays         Samples            `json:"Delays"`
	Shed           Samples            `json:"Turned"`
	Held           int                `json:"Held"`
	CheckPending   bool               `json:"Waits"`
	RecentRequests int                `json:"Recent"`
	HeldSince      Micros             `json:"HeldFrom"`
	BlockedAt      Micros             `json:"Blocked"`
}

// InstanceSnapshot is the state of a function's replicas on one server.
type InstanceSnapshot struct {
	Server       ServerID `json:"Server"`
	Replicas     int      `json:"Copies"`
	LastUsed     Micros   `json:"Used"`
	Loading      int      `json:"Loading"`
	LoadingSince Micros   `json:"Since"`
	InFlight     int      `json:"Out"`
}

// RequestSnapshot is a request with the balancer's state for it.
type RequestSnapshot struct {
	Request     Request           `json:"Job"` // without its Attempts
	Attempts    []AttemptSnapshot `json:"Executions"`
	HeldSince   Micros            `json:"HeldSince"`
	HeldFor     Micros            `json:"HeldFor"`
	Held        bool              `json:"Held"`
	Admitted    bool              `json:"Taken"`
	FirstSentAt Micros            `json:"Begun"`
	OverQuota   bool              `json:"Surplus"`
}

// AttemptSnapshot is an attempt with the balancer's state for it.
type AttemptSnapshot struct {
	Attempt    Attempt `json:"Execution"`
	ToLoaded   bool    `json:"Warm"`
	Cancelling bool    `json:"Recall"`
}

// Samples holds the latest measurements and their times. Count is the number of all measurements ever taken.
type Samples struct {
	Values []Micros `json:"V"`
	Times  []Micros `json:"At"`
	Count  int      `json:"N"`
}

func (s *samples) snapshot() Samples {
	n := min(s.count, len(s.values))
	return Samples{slices.Clone(s.values[:n]), slices.Clone(s.times[:n]), s.count}
}

func (s Samples) restore() (r samples) {
	copy(r.values[:], s.Values)
	copy(r.times[:], s.Times)
	r.count = s.Count
	return r
}

// Snapshot returns the request with the balancer's state for it.
func (req *Request) Snapshot() RequestSnapshot {
	s := RequestSnapshot{
		Request:     *req,
		HeldSince:   req.heldSince,
		HeldFor:     req.heldFor,
		Held:        req.held,
		Admitted:    req.admitted,
		FirstSentAt: req.firstSentAt,
		OverQuota:   req.overQuota,
	}
	s.Request.Attempts = nil
	for _, a := range req.Attempts {
		s.Attempts = append(s.Attempts, AttemptSnapshot{a, a.toLoaded, a.cancelling})
	}
	return s
}

// Restore returns the request that the snapshot was taken of.
func (s RequestSnapshot) Restore() Request {
	req := s.Request
	req.heldSince, req.heldFor, req.held = s.HeldSince, s.HeldFor, s.Held
	req.admitted, req.firstSentAt, req.overQuota = s.Admitted, s.FirstSentAt, s.OverQuota
	req.Attempts = nil
	for _, a := range s.Attempts {
		a.Attempt.toLoaded, a.Attempt.cancelling = a.ToLoaded, a.Cancelling
		req.Attempts = append(req.Attempts, a.Attempt)
	}
	return req
}

// mapSlice returns the results of f for all elements.
func mapSlice[T, S any](from []T, f func(T) S) []S {
	to := make([]S, 0, len(from))
	for _, t := range from {
		to = append(to, f(t))
	}
	return to
}

func snapshotSamples(s []samples) []Samples {
	to := make([]Samples, len(s))
	for i := range s {
		to[i] = s[i].snapshot()
	}
	return to
}

// Snapshot returns the whole state. It shares no memory with the balancer, except for the slices in Deployment.
func (b *Balancer) Snapshot() *Snapshot {
	s := &Snapshot{
		Deployment:      b.deployment,
		Random:          uint64(b.random),
		StartedAt:       b.startedAt,
		ExecTimes:       snapshotSamples(b.execTimes),
		Timeouts:        snapshotSamples(b.timeouts),
		QuotaDebt:       slices.Clone(b.quotaDebt),
		Latencies:       b.latencies.snapshot(),
		LoadTimes:       b.loadTimes.snapshot(),
		Queueing:        b.queueing.snapshot(),
		LoadCommands:    slices.Clone(b.loadCommands),
		Admitted:        slices.Clone(b.admitted),
		Cancellations:   slices.Clone(b.cancellations),
		ServerEvents:    mapSlice(b.serverEvents, ServerEvent.String),
		Answers:         slices.Clone(b.answers),
		AnswerRate:      b.answerRate,
		ObservationTTL:  b.observationTTL,
		CapacityHistory: b.capacityHistory.snapshot(),
		PruneCursor:     b.pruneCursor,
		Subscribed:      b.subscribed,
	}
	for v := range b.servers.all {
		s.Servers = append(s.Servers, b.serverSnapshot(v))
	}
	position := make(map[*function]int, len(b.functionOrder))
	for i, f := range b.functionOrder {
		position[f] = i
		s.Functions = append(s.Functions, f.snapshot())
	}
	at := func(f *function) int { return position[f] }
	s.RecentFunctions, s.PendingChecks = mapSlice(b.recentFunctions, at), mapSlice(b.pendingChecks, at)
	return s
}

func (b *Balancer) serverSnapshot(s *server) ServerSnapshot {
	return ServerSnapshot{
		Endpoint:   s.Endpoint,
		Listed:     s.listed,
		LastListed: b.lastListed(s),
		LastAnswer: s.lastAnswer,
		InFlight: mapSlice(s.inFlight, func(a inFlightAttempt) InFlightSnapshot {
			return InFlightSnapshot{a.request.ID, a.attempt, a.sentAt, a.toLoaded}
		}),
		SlowStartSends:     slices.Clone(s.slowStartSends),
		Report:             s.report,
		ReportedAt:         s.reportedAt,
		BackoffUntil:       s.backoffUntil,
		LoadBackoffUntil:   s.loadBackoffUntil,
		ConcurrencyLimit:   s.concurrencyLimit,
		Running:            s.running,
		LimitLoweredAt:     s.limitLoweredAt,
		Queueing:           s.queueing.snapshot(),
		Ejected:            s.ejected,
		ProbeAt:            s.probeAt,
		Ejections:          s.ejections,
		Rejections:         s.rejections,
		ConnectionFailures: s.connectionFailures,
	}
}

func (f *function) snapshot() FunctionSnapshot {
	s := FunctionSnapshot{
		ID:       f.id,
		Lanes:    f.lanes,
		LoadsDue: f.loadsDue,
		Instances: mapSlice(f.instances, func(inst *instance) InstanceSnapshot {
			return InstanceSnapshot{inst.server.Server, inst.replicas, inst.lastUsed, inst.loading, inst.loadingSince,
				inst.inFlight}
		}),
		ExecTimes:      f.execTimes.snapshot(),
		Delays:         f.delays.snapshot(),
		Shed:           f.shed.snapshot(),
		Held:           f.held,
		CheckPending:   f.checkPending,
		RecentRequests: f.recentRequests,
		HeldSince:      f.heldSince,
		BlockedAt:      f.blockedAt,
	}
	if f.lastRequest != nil {
		last := f.lastRequest.Snapshot()
		s.LastRequest = &last
	}
	return s
}

// Restore returns a balancer with the state of the snapshot. It needs the requests that were not done, by ID, because
// the balancer keeps part of its state in them. It returns an error for an inconsistent snapshot.
func Restore(s *Snapshot, requests map[RequestID]*Request) (*Balancer, error) {
	b := &Balancer{
		deployment:      s.Deployment,
		random:          pcg(s.Random),
		startedAt:       s.StartedAt,
		functions:       map[FunctionID]*function{},
		quotaDebt:       slices.Clone(s.QuotaDebt),
		latencies:       s.Latencies.restore(),
		loadTimes:       s.LoadTimes.restore(),
		queueing:        s.Queueing.restore(),
		loadCommands:    slices.Clone(s.LoadCommands),
		admitted:        slices.Clone(s.Admitted),
		cancellations:   slices.Clone(s.Cancellations),
		answers:         slices.Clone(s.Answers),
		answerRate:      s.AnswerRate,
		observationTTL:  s.ObservationTTL,
		capacityHistory: s.CapacityHistory.restore(),
		pruneCursor:     s.PruneCursor,
		subscribed:      s.Subscribed,
		execTimes:       mapSlice(s.ExecTimes, Samples.restore),
		timeouts:        mapSlice(s.Timeouts, Samples.restore),
	}
	classes, tenants := len(b.deployment.Classes), len(b.deployment.Quotas)
	if len(b.execTimes) != classes || len(b.timeouts) != classes || len(b.quotaDebt) != tenants {
		return nil, fmt.Errorf("snapshot: table lengths do not match its %d request classes and %d tenants", classes, tenants)
	}
	if err := b.restoreServers(s.Servers, requests); err != nil {
		return nil, err
	}
	if err := b.restoreFunctions(s.Functions, requests); err != nil {
		return nil, err
	}
	var err error
	if b.recentFunctions, err = b.functionsAt(s.RecentFunctions); err != nil {
		return nil, err
	}
	if b.pendingChecks, err = b.functionsAt(s.PendingChecks); err != nil {
		return nil, err
	}
	if b.serverEvents, err = parseServerEvents(s.ServerEvents); err != nil {
		return nil, err
	}
	b.rebuildIndex()
	return b, nil
}

func parseServerEvents(texts []string) ([]ServerEvent, error) {
	var events []ServerEvent
	for _, text := range texts {
		event, err := ParseServerEvent(text)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		events = append(events, event)
	}
	return events, nil
}

func (b *Balancer) restoreServers(from []ServerSnapshot, requests map[RequestID]*Request) error {
	for i, v := range from {
		if i > 0 && from[i-1].Endpoint.Server >= v.Endpoint.Server {
			return fmt.Errorf("snapshot: servers are not in ascending order at %d", i)
		}
		s := v.restore()
		for _, a := range v.InFlight {
			req := requests[a.Request]
			if req == nil || int(a.Attempt) >= len(req.Attempts) {
				return fmt.Errorf("snapshot: attempt %d of request %d is in flight, but the request or attempt is not known", a.Attempt, a.Request)
			}
			s.inFlight = append(s.inFlight, inFlightAttempt{req, a.Attempt, a.SentAt, a.ToLoaded})
		}
		b.servers.insert(s)
	}
	return nil
}

// restore returns the server without its attempts in flight.
func (s ServerSnapshot) restore() *server {
	return &server{
		Endpoint:           s.Endpoint,
		listed:             s.Listed,
		lastListed:         s.LastListed,
		lastAnswer:         s.LastAnswer,
		slowStartSends:     slices.Clone(s.SlowStartSends),
		report:             s.Report,
		reportedAt:         s.ReportedAt,
		backoffUntil:       s.BackoffUntil,
		loadBackoffUntil:   s.LoadBackoffUntil,
		concurrencyLimit:   s.ConcurrencyLimit,
		running:            s.Running,
		limitLoweredAt:     s.LimitLoweredAt,
		queueing:           s.Queueing.restore(),
		ejected:            s.Ejected,
		probeAt:            s.ProbeAt,
		ejections:          s.Ejections,
		rejections:         s.Rejections,
		connectionFailures: s.ConnectionFailures,
	}
}

// restoreFunctions restores the functions. The servers must have been restored before.
func (b *Balancer) restoreFunctions(from []FunctionSnapshot, requests map[RequestID]*Request) error {
	for _, v := range from {
		f := v.restore(requests)
		for _, inst := range v.Instances {
			s := b.servers.find(inst.Server)
			if s == nil {
				return fmt.Errorf("snapshot: function %x has an instance on the unknown server %x", v.ID, inst.Server)
			}
			f.instances = append(f.instances,
				&instance{s, inst.Replicas, inst.LastUsed, inst.Loading, inst.LoadingSince, inst.InFlight})
		}
		b.functions[v.ID], b.functionOrder = f, append(b.functionOrder, f)
	}
	return nil
}

// restore returns the function without its instances.
func (s FunctionSnapshot) restore(requests map[RequestID]*Request) *function {
	f := &function{
		id:             s.ID,
		lanes:          s.Lanes,
		loadsDue:       s.LoadsDue,
		execTimes:      s.ExecTimes.restore(),
		delays:         s.Delays.restore(),
		shed:           s.Shed.restore(),
		held:           s.Held,
		checkPending:   s.CheckPending,
		recentRequests: s.RecentRequests,
		heldSince:      s.HeldSince,
		blockedAt:      s.BlockedAt,
	}
	if s.LastRequest != nil {
		if f.lastRequest = requests[s.LastRequest.Request.ID]; f.lastRequest == nil {
			last := s.LastRequest.Restore()
			f.lastRequest = &last
		}
	}
	return f
}

// functionsAt returns the functions at the given positions of functionOrder; nil for no positions.
func (b *Balancer) functionsAt(positions []int) ([]*function, error) {
	var functions []*function
	for _, i := range positions {
		if i < 0 || i >= len(b.functionOrder) {
			return nil, fmt.Errorf("snapshot: position %d is not in its list of %d functions", i, len(b.functionOrder))
		}
		functions = append(functions, b.functionOrder[i])
	}
	return functions, nil
}
