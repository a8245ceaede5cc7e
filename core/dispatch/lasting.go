package dispatch

import (
	"maps"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// operationalPercent is the percentage that a long-running task reports when it
// is fully operational.
const operationalPercent = 100

// longRunningMaxWait is how long long-running tasks wait before the room that
// is reserved for others is released. The platform counts a long-running task
// as lost that waits 3 s while there is room.
const longRunningMaxWait = time.Second

// operational reports whether a run of a long-running task is fully
// operational.
func (r *run) operational() bool { return r.state == runRunning && r.percent >= operationalPercent }

// unavailable returns how many tasks of a long-running step are not
// operational.
func (s *stepState) unavailable() int {
	n := s.step.Count
	for _, r := range s.runs {
		if r.operational() {
			n--
		}
	}
	return n
}

// bounded reports whether the step's customer limits how many of its tasks may
// be unavailable.
func (s *stepState) bounded() bool { return s.step.LongRunning && s.step.MaxUnavailable > 0 }

// mayStopAll reports whether the runs may be stopped together, each with its
// gang. No step may then have more unavailable tasks than its customer allows.
// A task that isn't operational counts as unavailable already.
func mayStopAll(victims ...*run) bool {
	stopped := map[*run]bool{}
	for _, v := range victims {
		if v.step != nil && v.step.bounded() {
			for _, r := range v.stoppedWith() {
				stopped[r] = r.operational()
			}
		}
	}
	stopping := map[*stepState]int{}
	for r, worked := range stopped {
		if worked {
			stopping[r.step]++
		}
	}
	for s, n := range stopping {
		if s.unavailable()+n > s.step.MaxUnavailable {
			return false
		}
	}
	return true
}

// stoppedWith returns the runs that stop together with this one: its whole
// gang, or only itself.
func (r *run) stoppedWith() []*run {
	if !r.step.step.Gang {
		return []*run{r}
	}
	return slices.Collect(maps.Values(r.step.runs))
}

// releaseGangRoom releases reserved room when long-running tasks have waited
// for longRunningMaxWait, because they must run again soon if there is any room
// for them. It releases only room that is reserved for work that isn't urgent,
// in the services of those tasks, and returns these services. No run was
// stopped for such room.
func (d *Dispatcher) releaseGangRoom(now unit.Instant, candidates []candidate) map[id.Service]bool {
	waiting := map[id.Service]bool{}
	for _, c := range candidates {
		if c.step.step.LongRunning && c.step.waitedFor(now, longRunningMaxWait) {
			waiting[c.step.job.spec.Service] = true
		}
	}
	if len(waiting) == 0 {
		return waiting
	}
	for _, js := range d.open {
		if js.spec.Priority == 0 || !waiting[js.spec.Service] {
			continue
		}
		for _, s := range js.steps {
			s.dropClaim()
		}
	}
	return waiting
}
