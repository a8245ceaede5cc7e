package dispatch

import (
	"maps"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// atWork is the percent of a long-running task that does its work in full.
const atWork = 100

// lastingPatience is how long long-running tasks wait before room that is kept for
// others is given up. The platform counts one as lost that waits 3 s with room.
const lastingPatience = time.Second

// works reports whether a run of a long-running task is at work.
func (r *run) works() bool { return r.state == runRunning && r.percent >= atWork }

// away returns how many tasks of a long-running step are not at work.
func (s *stepState) away() int {
	n := s.step.Count
	for _, r := range s.runs {
		if r.works() {
			n--
		}
	}
	return n
}

// bounded reports whether the step's customer limits how many tasks may be away.
func (s *stepState) bounded() bool { return s.step.LongRunning && s.step.MayMiss > 0 }

// mayStopAll reports whether the runs may be stopped together, each with its gang, without
// taking more tasks of a step away than its customer allows. A task that isn't at work is
// away already.
func mayStopAll(victims ...*run) bool {
	stopped := map[*run]bool{}
	for _, v := range victims {
		if v.step != nil && v.step.bounded() {
			for _, r := range v.stoppedWith() {
				stopped[r] = r.works()
			}
		}
	}
	leave := map[*stepState]int{}
	for r, worked := range stopped {
		if worked {
			leave[r.step]++
		}
	}
	for s, n := range leave {
		if s.away()+n > s.step.MayMiss {
			return false
		}
	}
	return true
}

// stoppedWith returns the runs that stopping this one stops: its gang, or itself alone.
func (r *run) stoppedWith() []*run {
	if !r.step.step.Gang {
		return []*run{r}
	}
	return slices.Collect(maps.Values(r.step.runs))
}

// giveWay gives up the room that is kept for gangs without stopping anybody, in services in
// which long-running tasks have waited for a while: those must be back soon if there is
// room for them at all. It returns these services.
func (d *Dispatcher) giveWay(now unit.Instant, candidates []candidate) map[id.Service]bool {
	waits := map[id.Service]bool{}
	for _, c := range candidates {
		if c.step.step.LongRunning && c.step.waitedFor(now, lastingPatience) {
			waits[c.step.job.spec.Service] = true
		}
	}
	if len(waits) == 0 {
		return waits
	}
	for _, js := range d.open {
		if js.spec.Priority == 0 || !waits[js.spec.Service] {
			continue
		}
		for _, s := range js.steps {
			s.dropClaim()
		}
	}
	return waits
}
