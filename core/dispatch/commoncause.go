package dispatch

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Crashes of many workers at once have a cause in common, and aren't held against what ran there.

const (
	// commonCause is within which time crashes of massLeast workers of a service, and massShare of all its workers, under which nothing
	// had just begun are taken to have one cause: a rack that loses power takes all its workers. They are noticed when the next lives answer. Without
	// it jobs that can be done are given up for crashes that they have nothing to do with.
	commonCause = time.Second
	massLeast   = 3
	massShare   = 1.0 / 30
	// allLeast and allShare are the same for crashes of any kind: half of the workers begin something within the 2 s in which a renewal may wait
	// for news, so that in a storm nearly each crash seems to come soon after a start. Tasks that crash workers are far from that many.
	allLeast = 5
	allShare = 1.0 / 8
	// mostExcused is how many crashes soon after its starts a task may be excused. With the three that end its job they are the starts that the
	// platform allows; without it tasks that crash their workers at once excuse each other for good.
	mostExcused = 2
)

// lifeEnd is a crash of a worker.
type lifeEnd struct {
	at      unit.Instant
	service id.Service
	// counted holds the runs under which it was counted.
	counted []*run
	// explained is set if one of them may well be the cause: it had just begun. repeated is set if workers have crashed before under the task
	// of one of them: it speaks for no other cause.
	explained, repeated bool
}

// excuseMass takes the counts of the newest crashes of a service back if so many of them have no explanation that there must be a cause in
// common.
func (d *Dispatcher) excuseMass(service id.Service) {
	all, unexplained := 0, 0
	for _, e := range d.lifeEnds {
		if e.service != service || e.repeated {
			continue
		}
		all++
		if !e.explained {
			unexplained++
		}
	}
	workers := float64(d.listed(service))
	most := unexplained >= massLeast && float64(unexplained) >= massShare*workers
	if !most && (all < allLeast || float64(all) < allShare*workers) {
		return
	}
	for _, e := range d.lifeEnds {
		if e.service != service {
			continue
		}
		for _, r := range e.counted {
			d.excuse(r, all)
		}
		e.counted = nil
	}
}

// excuse takes the count of a crash under a run back, because so many workers crashed together; that of one soon after the run's start
// mostExcused times.
func (d *Dispatcher) excuse(r *run, crashes int) {
	c := r.step.crashCount(r.task.Index)
	if c == nil || c.Run != r.number {
		return
	}
	if r.workedFor() < settledAfter {
		if r.step.excused[r.task.Index] >= mostExcused {
			return
		}
		r.step.noteExcused(r.task.Index)
	}
	c.All--
	c.AtOnce = max(0, c.AtOnce-1)
	d.mark(r.step.job)
	d.noteRun(EventCrashExcused, r, fmt.Sprintf("%d workers crashed together for no reason of their own", crashes), r.workedFor())
}

// noteExcused notes that a crash soon after its start was excused to a task.
func (s *stepState) noteExcused(index int) {
	if s.excused == nil {
		s.excused = map[int]int{}
	}
	s.excused[index]++
}
