package sched

import (
	"math/bits"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
)

// measure brings the shown numbers up to date.
func (s *Scheduler) measure() {
	s.stats.Pending, s.stats.Running = s.queue.Len(), len(s.gangs)
	s.stats.AtRisk = s.floor.AtRisk()
	sizes := map[int]bool{}
	for _, g := range s.state.Config.Guarantees {
		sizes[g.Size] = true
	}
	for _, l := range s.queue.Lanes() {
		sizes[l.Class.Accelerators] = true
	}
	free := make([]uint64, 0, len(s.floor.Racks))
	for i := range s.floor.Racks {
		r := &s.floor.Racks[i]
		free = append(free, r.Live&^r.Busy)
	}
	s.stats.Fragmentation = Fragmentation(free, config.Sorted(sizes))
}

// Fragmentation returns the share of free accelerators that can't serve gangs of
// the given sizes, averaged over the sizes, from 0 to 1. Each element of free is
// one rack. Without free accelerators or sizes it is 0.
func Fragmentation(free []uint64, sizes []int) float64 {
	total := 0
	for _, m := range free {
		total += bits.OnesCount64(m)
	}
	if total == 0 || len(sizes) == 0 {
		return 0
	}
	lost := 0.0
	for _, n := range sizes {
		usable := 0
		for _, m := range free {
			usable += servable(m, n)
		}
		lost += float64(total-usable) / float64(total)
	}
	return lost / float64(len(sizes))
}

// servable returns how many accelerators of one rack gangs of size n could use.
func servable(free uint64, n int) int {
	got := 0
	for free != 0 {
		run := block.RunAt(free, bits.TrailingZeros64(free))
		got += bits.OnesCount64(run) / n * n
		free &^= run
	}
	return got
}
