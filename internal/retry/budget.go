package retry

// Budget keeps retries a small part of calls, whatever goes wrong: each call earns a part of a retry. It begins full, so that
// a client of few calls may retry at all. It is not safe for concurrent use.
type Budget struct {
	tokens float64 // one a retry
}

const (
	// depositPerCall is the share of further load that retries may add in the worst case.
	depositPerCall = 0.1
	// maxTokens is what a burst of failures may use.
	maxTokens = 10.0
)

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// Deposit adds what a call earns.
func (b *Budget) Deposit() { b.tokens = min(maxTokens, b.tokens+depositPerCall) }

// TryWithdraw takes a token for a retry and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
