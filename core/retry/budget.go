// Package retry bounds how much load retries may add.
//
// Each first attempt adds a fraction of a retry to a budget, and each retry
// takes one from it. While few attempts fail, every failure can be retried;
// when all fail, retries add no more than that fraction to the load, so an
// outage doesn't cause a retry storm.
package retry

// Budget is a token bucket for retries. The zero value has no tokens; use New.
type Budget struct {
	// tokens is between 0 and burst. A first attempt adds share to it; a retry
	// takes 1.
	tokens, burst, share float64
}

// New returns a full budget that holds at most burst retries and gains share of
// a retry with each first attempt.
func New(share, burst float64) Budget {
	return Budget{tokens: burst, burst: burst, share: share}
}

// Earn adds the share of one first attempt to the budget.
func (b *Budget) Earn() { b.tokens = min(b.burst, b.tokens+b.share) }

// Spend takes one retry from the budget and reports whether the budget had one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
