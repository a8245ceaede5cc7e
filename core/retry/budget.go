// Package retry bounds how much work retries may add.
//
// Retries are paid from a budget that first attempts fill, a small part each. While
// little fails, every failure can be retried; when everything fails, retries add no
// more than that part, so an outage doesn't turn into a storm.
package retry

// Budget is a bucket of retries. The zero value is not ready; call New.
type Budget struct {
	// tokens is between 0 and burst; a retry takes 1.
	tokens, burst, share float64
}

// New returns a full budget that holds burst retries and earns share of a retry
// with each first attempt.
func New(share, burst float64) Budget {
	return Budget{tokens: burst, burst: burst, share: share}
}

// Earn notes a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.burst, b.tokens+b.share) }

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
