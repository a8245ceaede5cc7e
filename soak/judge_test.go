package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// judge checks the recorded events against the documented guarantees. It uses
// only what callers, workers and the operator observe, and how processes end.
// It doesn't use the internal state of hosts.
type judge struct {
	// evacuatedAt maps each failure domain that is evacuated at present to the
	// time of its evacuation.
	evacuatedAt map[string]time.Duration
	now         time.Duration
	jobs        map[string]*jobRecord
	tasks       map[string]*taskRecord
	workers     map[string]*workerRecord
	hosts       map[string]*hostRecord
	calls       map[int]event
	// configs are the versions of the configuration in order.
	configs []event
	// activeFaults counts the faults in force for each target. faultEndedAt is
	// when the last fault of each target ended.
	activeFaults map[string]int
	faultEndedAt map[string]time.Duration
	// refusals describes, for each worker and fencing token, the orders with
	// this token that the worker refused because the token was too low.
	refusals   map[string]*fenceRefusals
	violations []violation
	// resumed has, for each task of a worker that was taken away in an outage of the
	// store, the time from the outage's end to the next start.
	resumed []time.Duration
}

// violation is a broken guarantee.
type violation struct {
	Check, Detail string
	At            time.Duration
}

func (v violation) String() string {
	return fmt.Sprintf("%s at %v: %s", v.Check, v.At.Round(time.Millisecond), v.Detail)
}

// jobRecord is what callers know of a job.
type jobRecord struct {
	text, queue string
	steps       []standin.Step
	// inFlight counts the submit attempts in flight, unanswered those that got
	// no conclusive answer, refused those that were refused.
	inFlight, unanswered, refused int
	acceptedAt                    time.Duration
	// cancelSentAt is when the first cancel was sent, and cancels counts the
	// cancels, except for those that an answer shows to have had no effect: if
	// none is left, cancelSentAt is 0 again. cancelledAt is when a
	// cancel was first acknowledged, and cancelStoredAt when one was first
	// answered with 200.
	cancels                                   int
	cancelSentAt, cancelledAt, cancelStoredAt time.Duration
	started                                   bool
	state                                     string
	// outcome is "completed" or "failed" once a host has shown this, and
	// outcomeAt when one first did. cancelShownAt is when a host first showed
	// the job as cancelled.
	outcome                  string
	outcomeAt, cancelShownAt time.Duration
}

// runRecord is one run of a task.
type runRecord struct {
	worker     string
	number     int
	start, end time.Duration // end is 0 while the run is in flight
	// how is the outcome of the run, once it has ended. noted is set when the
	// owner has noted the end.
	how   string
	noted bool
	// resumed is set once the task was started again after the run's worker was taken
	// away.
	resumed bool
	// crashesWorker is set if each start of the task crashes its worker.
	crashesWorker bool
	// overlapping is an earlier run of the task, if its end was not yet
	// recorded when this run started. It is nil once that end is known.
	overlapping *runRecord
}

// taskRecord is the runs of a task, in the order in which their starts were
// recorded.
type taskRecord struct {
	runs []*runRecord
	// crashes counts the workers that the task has crashed, startsAfter its
	// starts after it has crashed crashBudget of them.
	crashes, startsAfter int
}

// workerRecord is one incarnation of a worker.
type workerRecord struct {
	running       int
	epoch         uint64
	drainingSince time.Duration
	gone          bool
	// outageOverAt is when the outage ended in which the worker was taken away; 0 if
	// it wasn't.
	outageOverAt time.Duration
}

// hostRecord is one incarnation of a host. Its answers prove that it has
// version minVersion of the configuration, or a newer one. minVersionAt is when
// an answer first proved this.
type hostRecord struct {
	minVersion   int
	minVersionAt time.Duration
}

// fenceRefusals describes the orders with one fencing token that a worker
// refused because the token was too low. first is the time of the first
// refusal. lateOrders counts the refusals more than toleranceFactor*handover
// after it.
type fenceRefusals struct {
	first      time.Duration
	lateOrders int
}

func newJudge() *judge {
	return &judge{
		jobs: map[string]*jobRecord{}, tasks: map[string]*taskRecord{}, workers: map[string]*workerRecord{}, hosts: map[string]*hostRecord{},
		calls: map[int]event{}, activeFaults: map[string]int{}, faultEndedAt: map[string]time.Duration{}, refusals: map[string]*fenceRefusals{},
		evacuatedAt: map[string]time.Duration{},
	}
}

// fail records a broken guarantee.
func (j *judge) fail(check, format string, args ...any) {
	j.violations = append(j.violations, violation{check, fmt.Sprintf(format, args...), j.now})
}

// handle processes an event.
func (j *judge) handle(e event) {
	j.now = max(j.now, e.At)
	switch string(e.Kind) {
	case standin.EventStart, standin.EventEnd, standin.EventNoted, standin.EventGone, standin.EventFenced, string(eventDraining), string(eventTaken):
		j.handleWorkerEvent(e)
	case string(eventSent), string(eventAnswered):
		j.handleCall(e)
	case string(eventConfig):
		j.configs = append(j.configs, e)
	case string(eventEvacuated), string(eventOpened):
		j.handleEvacuation(e)
	case string(eventFaultBegan):
		j.activeFaults[e.What]++
	case string(eventFaultEnded):
		j.activeFaults[e.What]--
		j.faultEndedAt[e.What] = e.At
	case string(eventExited), string(eventLogged), string(eventUsage):
		j.checkProcess(e)
	case string(eventSettled):
		j.checkSettled()
	}
}

// undisturbed reports whether none of the targets has a fault or had one within
// recoveryTime before at.
func (j *judge) undisturbed(at time.Duration, targets ...string) bool {
	for _, t := range targets {
		ended, faulted := j.faultEndedAt[t]
		if j.activeFaults[t] > 0 || faulted && at < ended+recoveryTime {
			return false
		}
	}
	return true
}

// allUndisturbed reports whether no target at all has a fault or had one within
// recoveryTime.
func (j *judge) allUndisturbed() bool {
	for t := range j.activeFaults {
		if !j.undisturbed(j.now, t) {
			return false
		}
	}
	return true
}

// checkProcess checks how processes end, what they log and what they hold.
func (j *judge) checkProcess(e event) {
	switch e.Kind {
	case eventExited:
		if !e.Planned && !e.Killed {
			j.fail("died", "%s exited with code %d without a SIGTERM or SIGKILL", e.Host, e.Status)
		}
		if e.Planned && !e.Killed && (e.Status != 0 || e.Took > toleranceFactor*grace) {
			j.fail("stop", "%s exited with code %d %v after SIGTERM", e.Host, e.Status, e.Took)
		}
	case eventLogged:
		j.fail("assertion", "%s: %s", e.Host, e.Text)
	case eventUsage:
		if e.Count > maxDescriptors || e.Bytes > maxMemory {
			j.fail("bounded", "%s exceeds its bounds with %d open descriptors or %d bytes of memory", e.Host, e.Count, e.Bytes)
		}
	}
}

// checkSettled checks what must hold at the end of the run: accepted jobs,
// cancelled jobs and all runs of tasks have ended.
func (j *judge) checkSettled() {
	for name, x := range j.jobs {
		accepted := x.acceptedAt > 0
		switch {
		case accepted && x.cancelSentAt == 0 && x.state != "completed" && x.state != "failed":
			j.fail("lost", "job %s was accepted at %v, but its state at the end is %q", name, x.acceptedAt, x.state)
		case x.cancelledAt > 0 && x.state != "completed" && x.state != "failed" && x.state != "cancelled" && x.state != "410":
			j.fail("cancel", "job %s was cancelled at %v, but its state at the end is %q", name, x.cancelledAt, x.state)
		}
	}
	for name, t := range j.tasks {
		for _, r := range t.runs {
			if r.overlapping != nil {
				j.fail("twice", "task %s run %d on %s started, but run %d on %s never ended",
					name, r.number, r.worker, r.overlapping.number, r.overlapping.worker)
			}
			if r.end == 0 {
				j.fail("rest", "task %s run %d is still on %s at the end", name, r.number, r.worker)
			}
		}
	}
	slices.SortStableFunc(j.violations, func(a, b violation) int { return cmp.Compare(a.At, b.At) })
}
