package overload

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
