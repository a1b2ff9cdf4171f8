package control

// The id types. Each kind of id has a type of its own, so that they can't be mixed up; the values carry no meaning.
type (
	RequestID  uint64
	ServerID   uint64
	FunctionID uint64
	ClassID    uint16
	TenantID   uint16
	ZoneID     uint16
	CellID     uint16
	AttemptID  uint16
)

// Request is one client request. The caller keeps it from arrival until it is done; the balancer stores its own state
// for the request in the unexported fields.
type Request struct {
	ID              RequestID  `json:"ID"`
	Class           ClassID    `json:"Workload"`
	Tenant          TenantID   `json:"Tenant"`
	Function        FunctionID `json:"Function"`
	Lanes           int        `json:"Lanes"`
	ExecTimeHint    Micros     `json:"Work"`     // hint in microseconds; 0: none
	LoadTimeHint    Micros     `json:"LoadTime"` // hint in microseconds; 0: none
	ArrivedAt       Micros     `json:"Arrived"`
	Deadline        Micros     `json:"Patience"` // when its client gives up
	IsRetry         bool       `json:"Repeat"`   // its client marked it as a retry
	RetriesUnmarked bool       `json:"Unmarked"` // its client never does, see Deployment.MarksRetries
	// How long its client waits in all, where that is known apart from Deadline - ArrivedAt: a request that came while the
	// router was stalled has a deadline before that. 0: it is not.
	Timeout Micros `json:"Timeout,omitempty" golden:"joined"`

	Attempts    []Attempt `json:"Executions"`
	heldSince   Micros
	heldFor     Micros
	held        bool
	admitted    bool
	firstSentAt Micros // estimate of when its client first sent it
	overQuota   bool   // beyond its tenant's quota, or shed
}

// Attempt is one attempt to run a request on a server.
type Attempt struct {
	Server     ServerID `json:"Server"`
	Zone       ZoneID   `json:"Zone"`
	Cell       CellID   `json:"Cell"`
	SentAt     Micros   `json:"Sent"`
	Done       bool     `json:"Done"`
	MayHaveRun bool     `json:"MayRun"` // false once it is proven not to have run
	toLoaded   bool     // sent to a replica that was believed loaded
	cancelling bool     // a cancellation was issued
}
