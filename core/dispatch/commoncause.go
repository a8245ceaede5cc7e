package dispatch

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// When many workers crash together, they have a common cause. Such crashes are
// not counted against the tasks that ran there.

const (
	// commonCause is the time window within which unexplained crashes are taken
	// to have a common cause, if they hit at least minUnexplained workers of a
	// service and minUnexplainedShare of all its workers. A crash is
	// unexplained if no run had just begun on the worker. A rack that loses
	// power, for example, takes down all its workers; this is noticed when
	// their next incarnations answer. Without this rule, jobs that could
	// complete are given up for crashes that they didn't cause.
	commonCause         = time.Second
	minUnexplained      = 3
	minUnexplainedShare = 1.0 / 30
	// minCrashes and minCrashShare are the same bounds for crashes with or
	// without an explanation. A renewal may wait at a worker for 2 s, and half
	// of the workers start something within that time. In a large outage nearly
	// every crash therefore seems to come soon after a start. Tasks that crash
	// their workers never reach these numbers.
	minCrashes    = 5
	minCrashShare = 1.0 / 8
	// maxExcused is how many crashes soon after a start are excused for one
	// task. Together with the three that end its job, they make up the number
	// of starts that the platform allows. Without the bound, tasks that crash
	// their workers at once excuse each other indefinitely.
	maxExcused = 2
)

// incarnationEnd is a crash of a worker.
type incarnationEnd struct {
	at      unit.Instant
	service id.Service
	// counted holds the runs that the crash was counted against.
	counted []*run
	// explained is set if one of these runs had just begun and is therefore a
	// probable cause. repeatedCrash is set if workers have crashed before under
	// the task of one of these runs; such a crash is no evidence of a common
	// cause.
	explained, repeatedCrash bool
}

// excuseCommonCause takes back the counts of a service's newest crashes if they
// must have a common cause: there are too many without an explanation, or too
// many altogether, to be independent.
func (d *Dispatcher) excuseCommonCause(service id.Service) {
	all, unexplained := 0, 0
	for _, e := range d.incarnationEnds {
		if e.service != service || e.repeatedCrash {
			continue
		}
		all++
		if !e.explained {
			unexplained++
		}
	}
	workers := float64(d.countListed(service))
	manyUnexplained := unexplained >= minUnexplained && float64(unexplained) >= minUnexplainedShare*workers
	if !manyUnexplained && (all < minCrashes || float64(all) < minCrashShare*workers) {
		return
	}
	for _, e := range d.incarnationEnds {
		if e.service != service {
			continue
		}
		for _, r := range e.counted {
			d.excuse(r, fmt.Sprintf("%d workers crashed together, which suggests a common cause", all))
		}
		e.counted = nil
	}
}

// seemsNotBegun reports whether the run's start order got no answer, and the
// worker has reported since that nothing of it runs there. It may have begun all
// the same, if the order was carried out after that.
func (r *run) seemsNotBegun() bool {
	return r.startedAt == 0 && r.startOpenUntil != 0 && r.worker.syncedAsOf > r.startSentAt.Add(maxStartLatency)
}

// excuseNotBegun takes back the count of a crash under a run that seems not to
// have begun, and reports whether it did. Without this, jobs fail because orders
// to start them got lost.
func (d *Dispatcher) excuseNotBegun(r *run) bool {
	return r.seemsNotBegun() && d.excuse(r, "its worker had reported after the start order that it didn't run there")
}

// excuse takes back the count of a crash under a run, and reports whether it
// did; why is the evidence for another cause, for the log. A crash soon after
// the run's start is excused at most maxExcused times for a task.
func (d *Dispatcher) excuse(r *run, why string) bool {
	c := r.step.crashCount(r.task.Index)
	if c == nil || c.Run != r.number {
		return false
	}
	if r.confirmedRuntime() < earlyCrashTime {
		if c.Excused >= maxExcused {
			return false
		}
		c.Excused++
	}
	c.Total--
	c.Early = max(0, c.Early-1)
	d.markChanged(r.step.job)
	d.noteRun(EventCrashExcused, r, why, r.confirmedRuntime())
	return true
}
