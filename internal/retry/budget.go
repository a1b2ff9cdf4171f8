package retry

// Budget keeps retries a small part of calls, whatever goes wrong: each call earns a part of a retry. It begins with a few, so that
// a client of few calls may retry at all.
type Budget struct {
	tokens float64
}

// The budget's figures: a tenth more load is what retries may add in the worst case; ten stand for a burst.
const (
	depositPerCall = 0.1
	maxTokens      = 10.0
)

// NewBudget gives a full one.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// Earn counts a first try.
func (b *Budget) Deposit() { b.tokens = min(maxTokens, b.tokens+depositPerCall) }

// Spend takes a retry's worth, if there is one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
