package sched

import (
	"math/bits"

	"curlewsill.org/curlewsill/core/backlog"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/place"
)

// updateDemand updates the gang sizes of all guarantees and waiting jobs.
func (s *Scheduler) updateDemand(groups []*backlog.Group) {
	sizes := map[int]bool{}
	for _, g := range s.state.Config.Guarantees {
		sizes[g.Size] = true
	}
	for _, group := range groups {
		sizes[group.Class.Accelerators] = true
	}
	s.demand = config.SortedKeys(sizes)
}

// updateStats updates the statistics at the end of a pass.
func (s *Scheduler) updateStats() {
	s.stats.Pending, s.stats.Running = s.backlog.Len(), len(s.gangs)
	s.stats.AtRisk = s.inventory.AtRisk()
	free := make([]uint64, 0, len(s.inventory.Racks))
	for i := range s.inventory.Racks {
		r := &s.inventory.Racks[i]
		free = append(free, r.Live&^r.Busy)
	}
	s.stats.Fragmentation = Fragmentation(free, s.demand)
}

// Fragmentation returns the share of free accelerators that can't serve gangs of
// the given sizes, averaged over the sizes, from 0 to 1. Each element of free is
// the mask of one rack. The result is 0 without free accelerators or sizes.
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
			usable += place.Servable(m, n)
		}
		lost += float64(total-usable) / float64(total)
	}
	return lost / float64(len(sizes))
}
