package dispatch

import (
	"slices"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// runState is how far a run is; the chart run.chart has the transitions.
type runState string

// runEvent is what happens to a run.
type runEvent string

const (
	runOrdered  runState = "ordered"
	runStarting runState = "starting"
	runRunning  runState = "running"
	runStopping runState = "stopping"
	runGone     runState = "gone"

	evCommitted runEvent = "committed"
	evStarted   runEvent = "started"
	evRejected  runEvent = "rejected"
	evStop      runEvent = "stop"
	evEnded     runEvent = "ended"
	evLost      runEvent = "lost"
)

// runChart has the transitions of a run.
var runChart = chart.MustParse[runState, runEvent]("run.chart", charts.Read("run"))

// jobState is one open job.
type jobState struct {
	id        id.Job
	spec      *job.Spec
	progress  job.Progress
	cancelled bool
	// steps are ordered by round and step.
	steps []*stepState
	// changed is set while the store's records are older than progress.
	changed bool
	// summary is what callers are told of the job. hasProgress is set while the progress log has the job, or is about to.
	summary     summaryPhase
	hasProgress bool
	// open counts the steps that are not done.
	open int
	// seen is when this owner learned of the job.
	seen unit.Instant
	// blamed holds the workers on which a run of the job failed at once.
	blamed []id.Worker
	// atRisk is set once it was noted that the customer's guarantee doesn't hold.
	atRisk bool
}

// summaryPhase is how far the summary of a job is.
type summaryPhase int

// The phases of a summary, each later than those before.
const (
	// summaryNone: none was written, since no task was placed.
	summaryNone summaryPhase = iota
	// summaryBegun: one is in the store, or on its way, that tells that the job has begun.
	summaryBegun
	// summaryEnding: one with the outcome is on its way.
	summaryEnding
	// summaryEnded: one with the outcome is in the store.
	summaryEnded
)

// stepState is one step of one round of a job.
type stepState struct {
	job   *jobState
	round int
	index int
	step  *job.Step
	// base is the position of the step's first task in the job's progress.
	base int
	// done counts the step's tasks that are done; counted is set once the job's
	// open steps were lowered for it.
	done    int
	counted bool
	// failedRun is the last run of the gang that was counted as failed.
	failedRun job.Run
	// runs holds the runs of the step's tasks that take room, by task index.
	runs map[int]*run
	// waitingSince is when the step's tasks first found no room; 0 if they have
	// found it or were not tried.
	waitingSince unit.Instant
	// claim is the room that is kept for the step's gang.
	claim *claim
	// triedFewer is when room for fewer than all waiting tasks was last sought.
	triedFewer unit.Instant
	// failures holds the newest failure of each task, by its index; that of a gang is
	// under 0.
	failures map[int]failure
	// showsProgress is set once a run of the step has shown some.
	showsProgress bool
	// stalls counts the runs of each task that were stopped because they made no progress, by the same.
	stalls map[int]int
	// excused counts the crashes soon after their starts that this owner has excused, by task index.
	excused map[int]int
	// permits holds what the advice service said of each worker.
	permits map[id.Worker]permit
	// asking is set while a question for the step is under way.
	asking bool
}

// run is one run of a task that takes a worker's room.
type run struct {
	task   job.Task
	number job.Run
	state  runState
	worker *worker
	need   job.Resources
	// shield is the room beside the run that is kept empty: what its worker had free when a suspect was placed there.
	shield job.Resources
	// step is nil if the job is not known any more; such a run is stopped.
	step *stepState
	// since is when the order was first sent, or when the run was first seen.
	since unit.Instant
	// started is when the worker confirmed it, 0 before.
	started    unit.Instant
	checkpoint string
	percent    int
	// reported is when the worker told these, advanced when percent was last seen to grow.
	reported, advanced unit.Instant
	// load is the worker's figure of the run: a serving task's tail latency in
	// milliseconds, another one's processor time in use.
	load int64
	// slowed is how many percent of its full speed the run was last ordered to leave
	// to others; 0 if it works at full speed.
	slowed int
	// stopAsked is when the last order to stop was sent, stopDone whether it was
	// answered.
	stopAsked unit.Instant
	stopDone  unit.Instant
	// missed is when an answer came that told nothing of the run; 0 if the newest one told of it.
	missed unit.Instant
	// asked is when the last order to start was sent, orders how many were.
	asked  unit.Instant
	orders int
	// startLapse is when the lease of an order to start that is under way has surely run out; 0 if none is. strayLapse is the same for
	// orders without an answer that the next life under the worker's name may carry out.
	startLapse, strayLapse unit.Instant
	// inFlight is set while an order for the run has no verdict.
	inFlight bool
	// unanswered is set once an order to start has got no answer: it may be carried
	// out seconds later.
	unanswered bool
	// resumed is set for a run that an earlier owner ordered: when it began isn't known.
	resumed bool
	// inherited is the life that the run was placed on while it isn't known whether its worker's, the next one under the
	// name, has it; else empty.
	inherited id.Worker
	// why says for logs what the run is stopped for.
	why string
}

// apply moves the run along its chart. An event that its state doesn't allow changes
// nothing and is reported as false.
func (r *run) apply(ev runEvent) bool {
	to, err := runChart.Next(r.state, ev)
	if err != nil {
		return false
	}
	r.state = to
	return true
}

// worker is one life of a worker. What is known of its answers, from the weakest on: answered says that it said anything,
// synced that it told what runs there, confirmed that it did so since another life was known beside it, heard that it
// answered lately, so that orders may extend its lease.
type worker struct {
	fleet.Listing
	// name is the one under which this life was begun. Others may have been begun under it.
	name id.WorkerName
	// pool and rackUse are what the worker counts in during this pass; nil if new tasks may
	// not go to it.
	pool    *pool
	rackUse *rackUse
	// held is set while the worker's machine is to go down for maintenance, evacuated while the operator has evacuated its
	// failure domain.
	held, evacuated bool
	// raise is that of the fence of orders to the worker; it never falls. exposed is set once an order to start, a lease or news of ends may have
	// left under it.
	raise   id.Raise
	exposed bool
	// since is when this owner first knew of the worker.
	since unit.Instant
	// listed is set while the platform's list has the worker.
	listed bool
	// leaves is when a draining worker may be gone, leavesAt what its clock shows then at least; 0 if its entry tells no clock.
	leaves   unit.Instant
	leavesAt fleet.Clock
	// used is what runs take of the capacity, reserved what claims do.
	used, reserved job.Resources
	runs           runSet
	// clockAt is when the worker's clock showed Clock at the earliest.
	clockAt unit.Instant
	// answered is when its last answer came, firstAsked when this owner's first renewal left; 0 for never.
	answered, firstAsked unit.Instant
	// seen is the last end that was noted, durable the last one whose note is in
	// the store, told the last one that the worker may forget.
	seen, durable, told uint64
	// pacedAt is when the runs that use what others leave were last slowed down or up.
	pacedAt unit.Instant
	// synced is when a renewal was sent that the worker answered, under the
	// present epoch; 0 before the first. toldClock is what its clock showed in the answer,
	// 0 if that told none.
	synced    unit.Instant
	toldClock fleet.Clock
	// askedAgain is when it was last wanted that the worker answers anew; answers to renewals that had left don't count.
	askedAgain unit.Instant
	// holding is set while a renewal is on its way, waits if that one waits for news; nextHold is when the next
	// one is due.
	holding  bool
	waits    bool
	nextHold unit.Instant
	// askedInVain is set if the last renewal that has ended got no answer, and ended in time. This host may have stood still while one
	// was under way that ended later.
	askedInVain bool
	// lostAt is when the first renewal since its last answer had got none; 0 if none has.
	lostAt unit.Instant
	// lastUnanswered is set if the last renewal got no answer. The next one doesn't wait for news, so that
	// its loss shows 2 s earlier.
	lastUnanswered bool
	// strays holds the orders to start runs that are over, of which a copy got no answer lately; toldStray is when the last renewal
	// left that told of ends and got no answer, 0 for never. The next life under the name may take them. strayUntil is when every
	// lease has surely run out there that an order without an answer may bring.
	strays                []strayStart
	toldStray, strayUntil unit.Instant
	// pausedUntil keeps new tasks away, since pausedAt.
	pausedAt, pausedUntil unit.Instant
	// contested is when another life at the worker's address or of its machine was last listed; 0 if there
	// is no such life. replaced is set once another life has answered in its place, until it is listed again.
	contested unit.Instant
	replaced  bool
	// grantedUntil is when every lease that may have been granted has surely run out, renewalLapse the same for the
	// renewal under way; 0 if that grants none.
	grantedUntil, renewalLapse unit.Instant
	// streak counts failed ends of different jobs since the last success; lastFailed
	// is the job of the newest one.
	streak     int
	lastFailed id.Job
}

// sorted returns a copy of the worker's runs, for walks that change them.
func (w *worker) sorted() runSet { return slices.Clone(w.runs) }

// together returns the states of the tasks that start and end with the one at index: its
// whole gang, or itself alone. The job must have progress.
func (s *stepState) together(index int) []job.TaskState {
	tasks := s.job.progress.Tasks[s.base : s.base+s.step.Count]
	if s.step.Gang {
		return tasks
	}
	return tasks[index : index+1]
}

// busy reports whether some run of the job still takes room.
func (js *jobState) busy() bool {
	for _, s := range js.steps {
		if len(s.runs) > 0 {
			return true
		}
	}
	return false
}

// stepOf returns the step of a task, or nil if the job has no such task.
func (js *jobState) stepOf(t job.Task) *stepState {
	if _, ok := js.spec.Index(t); !ok {
		return nil
	}
	return js.steps[t.Round*len(js.spec.Steps)+t.Step]
}

// stepOfTask returns the step of a task, or nil if there is no such task of a known job.
func (d *Dispatcher) stepOfTask(t job.Task) *stepState {
	js := d.jobs[t.Job]
	if js == nil {
		return nil
	}
	return js.stepOf(t)
}

// task returns the name of the step's task at an index.
func (s *stepState) task(i int) job.Task {
	return job.Task{Job: s.job.id, Round: s.round, Step: s.index, Index: i}
}
