// Package retryafter decides after what time a caller that was refused should
// come back.
//
// Callers retry a few times only. If all of them came back after the shortest
// time, they would use up their tries while an outage lasts. How long an outage
// will last isn't known, but the longer it has lasted, the longer it is likely to
// go on. So callers are asked to stay away for as long as it has lasted, up to a
// time that still lets urgent work end soon after the outage.
package retryafter

import "time"

const (
	// shortest and longest bound the time after which a caller comes back.
	shortest = time.Second
	longest  = 2 * time.Second
)

// For returns after what time, in whole seconds, a caller should come back if the
// outage because of which it is refused has lasted for a time; 0 if there is
// none.
func For(outage time.Duration) time.Duration {
	return min(longest, max(shortest, outage.Round(time.Second)))
}
