package overload

// Kind is the cause of an overload. Its numbers are stored and exported as a metric: they must not change.
type Kind uint8

// The kinds of overload.
const (
	None            Kind = iota
	RetryStorm           // requests are retried faster than they are answered
	RecoveryStorm        // capacity is back: held requests and retries arrive together
	AfterStall           // this process was stalled and gets everything that arrived in the meantime at once
	TenantStorm          // one tenant retries or exceeds its quota, the others don't
	ConnectionStorm      // clients open many connections at once
)

// kindNames are metric labels and part of responses to clients: they must not change.
var kindNames = [...]string{"calm", "retry wave", "return after an outage", "router woken", "one tenant", "reconnect rush"}

// String returns the kind's name in logs, metrics and responses.
func (k Kind) String() string { return kindNames[k] }
