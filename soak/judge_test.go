package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// judge holds what was seen against the promises of the pages. It knows nothing of the hosts but what
// callers, workers and the operator see, and the ends of processes.
type judge struct {
	// evacuated holds since when failure domains are evacuated.
	evacuatedAt map[string]time.Duration
	now         time.Duration
	jobs        map[string]*jobRecord
	tasks       map[string]*taskRecord
	workers     map[string]*workerRecord
	hosts       map[string]*hostRecord
	calls       map[int]event
	// configs holds the versions in order.
	configs []event
	// faults counts the open faults of each kind of target, ceasedAt is when the last one ended.
	activeFaults map[string]int
	faultEndedAt map[string]time.Duration
	// fences counts the refused orders of a fence on a worker, since when.
	refusals   map[string]*fenceRefusals
	violations []violation
}

// violation is a promise that was broken.
type violation struct {
	Check, Detail string
	At            time.Duration
}

func (v violation) String() string {
	return fmt.Sprintf("%s at %v: %s", v.Check, v.At.Round(time.Millisecond), v.Detail)
}

// jobSeen is what callers know of a job.
type jobRecord struct {
	text  string
	steps []standin.Step
	// open counts attempts under way, unknown those without an answer, refused those refused.
	inFlight, unanswered, refused int
	acceptedAt                    time.Duration
	// cancelSent is when a cancel left first, cancelledAt when one was acknowledged.
	cancelSentAt, cancelledAt time.Duration
	started                   bool
	state                     string
}

// runSeen is one run of a task.
type runRecord struct {
	worker     string
	number     int
	start, end time.Duration // end is 0 while it runs
	how        string
	noted      bool
	// crashes is set if each start of the task crashes its worker.
	crashesWorker bool
	// against is a run that seems to be on another worker at once, until its end is told.
	overlapping *runRecord
}

// taskSeen is the runs of a task, in the order in which they were told.
type taskRecord struct {
	runs []*runRecord
	// crashes counts the workers that it has crashed, startsAfter its starts after mostCrashes of them.
	crashes, startsAfter int
}

// workerSeen is one life of a worker.
type workerRecord struct {
	running       int
	epoch         uint64
	drainingSince time.Duration
	gone          bool
}

// hostSeen is one life of a host. low is the newest version that it has shown, since when.
type hostRecord struct {
	minVersion   int
	minVersionAt time.Duration
}

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

// fail notes a broken promise.
func (j *judge) fail(check, format string, args ...any) {
	j.violations = append(j.violations, violation{check, fmt.Sprintf(format, args...), j.now})
}

// see takes in an event.
func (j *judge) handle(e event) {
	j.now = max(j.now, e.At)
	switch string(e.Kind) {
	case standin.SeenStart, standin.SeenEnd, standin.SeenNoted, standin.SeenGone, standin.SeenFenced, string(eventDraining):
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

// calm reports whether none of the targets had a fault for a while before a time.
func (j *judge) undisturbed(at time.Duration, targets ...string) bool {
	for _, t := range targets {
		ended, faulted := j.faultEndedAt[t]
		if j.activeFaults[t] > 0 || faulted && at < ended+recoveryTime {
			return false
		}
	}
	return true
}

// allCalm reports whether nothing at all had a fault for a while.
func (j *judge) allUndisturbed() bool {
	for t := range j.activeFaults {
		if !j.undisturbed(j.now, t) {
			return false
		}
	}
	return true
}

// seeProcess checks how processes end and what they hold.
func (j *judge) checkProcess(e event) {
	switch e.Kind {
	case eventExited:
		if !e.Planned && !e.Killed {
			j.fail("died", "%s ended by itself with code %d", e.Host, e.Status)
		}
		if e.Planned && !e.Killed && (e.Status != 0 || e.Took > toleranceFactor*grace) {
			j.fail("stop", "%s ended with code %d %v after SIGTERM", e.Host, e.Status, e.Took)
		}
	case eventLogged:
		j.fail("assertion", "%s: %s", e.Host, e.Text)
	case eventUsage:
		if e.Count > maxDescriptors || e.Bytes > maxMemory {
			j.fail("bounded", "%s holds %d descriptors and %d bytes", e.Host, e.Count, e.Bytes)
		}
	}
}

// settle checks what must be so once everything has come to rest.
func (j *judge) checkSettled() {
	for name, x := range j.jobs {
		accepted := x.acceptedAt > 0
		switch {
		case accepted && x.cancelSentAt == 0 && x.state != "completed" && x.state != "failed":
			j.fail("lost", "%s was accepted at %v and is %q at the end", name, x.acceptedAt, x.state)
		case x.cancelledAt > 0 && x.state != "completed" && x.state != "failed" && x.state != "cancelled" && x.state != "410":
			j.fail("cancel", "%s was cancelled at %v and is %q at the end", name, x.cancelledAt, x.state)
		}
	}
	for name, t := range j.tasks {
		for _, r := range t.runs {
			if r.overlapping != nil {
				j.fail("twice", "%s runs %d on %s and %d on %s never ended", name, r.number, r.worker, r.overlapping.number, r.overlapping.worker)
			}
			if r.end == 0 {
				j.fail("rest", "%s run %d is on %s after everything has ended", name, r.number, r.worker)
			}
		}
	}
	slices.SortStableFunc(j.violations, func(a, b violation) int { return cmp.Compare(a.At, b.At) })
}
