package overload

// Kind says what an overload is made of. Its numbers are stored and exported as a metric: they must not change.
type Kind uint8

// The kinds of overload.
const (
	None            Kind = iota
	RetryStorm           // requests are retried faster than they are answered
	RecoveryStorm        // capacity is back: requests that were held meet retries
	AfterStall           // this process was stalled and finds everything that came meanwhile at once
	TenantStorm          // one tenant retries or exceeds its quota, the others don't
	ConnectionStorm      // clients open connections all at once
)

// kindNames are metric labels and part of what clients are answered: they must not change.
var kindNames = [...]string{"calm", "retry wave", "return after an outage", "router woken", "one tenant", "reconnect rush"}

// String returns the kind's name in logs, metrics and responses.
func (k Kind) String() string { return kindNames[k] }
