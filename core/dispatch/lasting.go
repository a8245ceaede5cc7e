package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// atWork is the percent of a long-running task that does its work in full.
const atWork = 100

// lastingPatience is how long long-running tasks wait before room that is kept for
// others is given up. The platform counts one as lost that waits 3 s with room.
const lastingPatience = time.Second

// away returns how many tasks of a long-running step are not at work.
func (s *stepState) away() int {
	n := 0
	for i := range s.step.Count {
		r := s.runs[i]
		if r == nil || r.state != runRunning || r.percent < atWork {
			n++
		}
	}
	return n
}

// bounded reports whether the step's customer limits how many tasks may be away.
func (s *stepState) bounded() bool { return s.step.LongRunning && s.step.MayMiss > 0 }

// mayStopOne reports whether one task of the step may be stopped in favor of others. A
// long-running step without a limit may lose any, a step with one only while fewer are away.
func (s *stepState) mayStopOne() bool { return !s.bounded() || s.away() < s.step.MayMiss }

// mayStopAll reports whether the runs may be stopped together without taking more tasks of
// a step away than its customer allows.
func mayStopAll(victims []*run) bool {
	stopped := map[*stepState]int{}
	for _, v := range victims {
		stopped[v.step]++
	}
	for s, n := range stopped {
		if s.bounded() && s.away()+n > s.step.MayMiss {
			return false
		}
	}
	return true
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
	for _, name := range d.names() {
		spec := d.jobs[name].spec
		if spec.Priority == 0 || !waits[spec.Service] {
			continue
		}
		for _, s := range d.jobs[name].steps {
			s.dropClaim()
		}
	}
	return waits
}
