package eviction

import (
	"cmp"
	"slices"

	"curlewsill.org/curlewsill/core/job"
)

// stopCost is added for each run that is stopped, members of its gang included,
// in core-seconds, so that among choices that lose little work the one with the
// fewest stops wins.
const stopCost = 1

// Unit is a set of victims on one worker that are preempted together: a single
// run, or all members of a gang there.
type Unit[T any] struct {
	Victims []T
	// Room is what the victims occupy on the worker.
	Room job.Resources
	// Lost is the work, in core-seconds, that the preemption loses on all
	// workers. It is small for young runs and for those that saved a checkpoint
	// recently.
	Lost float64
	// Stops is the number of runs that are stopped on all workers.
	Stops int
}

// cost is the lost work together with the cost of the stops, in core-seconds.
func (u Unit[T]) cost() float64 { return u.Lost + stopCost*float64(u.Stops) }

// Choose returns units of one worker whose room, together with the free room, is
// sufficient, and what preempting them costs, in core-seconds. It takes the
// cheapest units until there is enough room. Of these, it drops the ones that
// turn out to be unnecessary, the most expensive first. It returns nil if all
// units together don't have enough room. It sorts units by their cost.
func Choose[T any](units []Unit[T], free, need job.Resources) ([]Unit[T], float64) {
	slices.SortStableFunc(units, func(a, b Unit[T]) int { return cmp.Compare(a.cost(), b.cost()) })
	n := 0
	for ; n < len(units) && !need.Fits(free); n++ {
		free = free.Add(units[n].Room)
	}
	if !need.Fits(free) {
		return nil, 0
	}
	var chosen []Unit[T]
	cost := 0.0
	for i := n - 1; i >= 0; i-- {
		if without := free.Sub(units[i].Room); need.Fits(without) {
			free = without
			continue
		}
		chosen = append(chosen, units[i])
		cost += units[i].cost()
	}
	return chosen, cost
}
