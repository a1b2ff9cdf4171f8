package control

// Each kind of id is a type of its own; none carries a meaning.
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

// Request is one client's job, kept by the adapter; the router keeps its notes on the job in it.
type Request struct {
	ID              RequestID  `json:"ID"`
	Class           ClassID    `json:"Workload"`
	Tenant          TenantID   `json:"Tenant"`
	Function        FunctionID `json:"Function"`
	Lanes           int        `json:"Lanes"`
	Work            Micros     `json:"Work"`     // hint; 0: none
	LoadTime        Micros     `json:"LoadTime"` // hint; 0: none
	ArrivedAt       Micros     `json:"Arrived"`
	Deadline        Micros     `json:"Patience"` // when its client gives up
	IsRetry         bool       `json:"Repeat"`   // the client says that it asks again
	RetriesUnmarked bool       `json:"Unmarked"` // this client never says so, whatever is told of clients

	Attempts    []Attempt `json:"Executions"`
	heldSince   Micros
	heldFor     Micros
	held        bool
	admitted    bool
	firstSentAt Micros // when its client first asked
	overQuota   bool   // beyond its tenant's share
}

// Attempt is one sending of a job.
type Attempt struct {
	Server     ServerID `json:"Server"`
	Zone       ZoneID   `json:"Zone"`
	Cell       CellID   `json:"Cell"`
	SentAt     Micros   `json:"Sent"`
	Done       bool     `json:"Done"`
	MayHaveRun bool     `json:"MayRun"` // false once it is proven not to have run
	toLoaded   bool     // sent to a copy believed loaded
	cancelling bool
}
