package retry

// Budget limits retries to a small fraction of calls, whatever goes wrong: each call earns a fraction of a retry. It
// starts full, so that a client with few calls can retry at all. It is not safe for concurrent use.
type Budget struct {
	tokens float64 // one per retry
}

const (
	// depositPerCall is the share of additional load that retries may cause in the worst case.
	depositPerCall = 0.1
	// maxTokens is the number of retries that a burst of failures may use.
	maxTokens = 10.0
)

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// Deposit adds the fraction of a token that a call earns.
func (b *Budget) Deposit() { b.tokens = min(maxTokens, b.tokens+depositPerCall) }

// TryWithdraw takes a token for a retry and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
