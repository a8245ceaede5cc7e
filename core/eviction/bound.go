package eviction

import "curlewsill.org/curlewsill/core/job"

// maxInterruptions is how often a gang may have been interrupted and still be
// preempted for urgent work beyond its customer's guarantee. Without a bound, a
// gang that starts again each time urgent work leaves a gap may be preempted
// any number of times. On the heaviest day measured one job was preempted 41
// times.
const maxInterruptions = 3

// Interruptions returns how many runs before the given one were neither done nor
// failed: they were preempted or lost with their worker, or their start was
// refused or withdrawn. Failures is the number of failed runs. Both numbers are
// in the store, so that each owner derives the same count.
func Interruptions(run job.RunNumber, failures int) int { return max(0, int(run)-1-failures) }

// MayPreempt reports whether a unit of lower priority may be preempted for
// urgent work. A gang loses the work of all its members, so the number of times
// is bounded. A single task loses little, and has no bound. Neither has work
// within its customer's guarantee, because guarantees must be reclaimable.
func MayPreempt(gang bool, interruptions int, withinGuarantee bool) bool {
	return !gang || withinGuarantee || interruptions < maxInterruptions
}
