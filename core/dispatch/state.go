package dispatch

import (
	"slices"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/unit"
)

// runState is the state of a run; run.chart defines the transitions.
type runState string

// runEvent is an event that may change the state of a run.
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

// runChart is the state machine of a run.
var runChart = chart.MustParse[runState, runEvent]("run.chart", charts.Read("run"))

// jobState is the owner's state of one job.
type jobState struct {
	id        id.Job
	spec      *job.Spec
	progress  job.Progress
	cancelled bool
	// steps are sorted by round and step.
	steps []*stepState
	// changed is set while the records in the store are older than progress.
	changed bool
	// summary is the phase of the summary that callers read. hasProgress is set
	// while the progress log has a record of the job, or one is being written.
	summary     summaryPhase
	hasProgress bool
	// begun is set once it is known that a worker has begun a task of the job.
	begun bool
	// open counts the steps that are not done.
	open int
	// knownSince is when this owner learned of the job.
	knownSince unit.Instant
	// failedImmediatelyOn holds the workers on which a run of the job failed
	// immediately after its start.
	failedImmediatelyOn []id.Worker
	// guaranteeAtRisk is set once a note says that the customer's guarantee
	// can't be met for the job.
	guaranteeAtRisk bool
}

// summaryPhase is the phase of the summary record of a job.
type summaryPhase int

// The phases of a summary, in order.
const (
	// summaryNone: no summary was written, since no task is known to have begun.
	summaryNone summaryPhase = iota
	// summaryBegun: a summary without an outcome is in the store or being
	// written.
	summaryBegun
	// summaryEnding: a summary with the outcome is being written.
	summaryEnding
	// summaryEnded: a summary with the outcome is in the store.
	summaryEnded
)

// stepState is one step of one round of a job.
type stepState struct {
	job   *jobState
	round int
	index int
	step  *job.Step
	// base is the index of the step's first task in the job's progress.
	base int
	// done counts the tasks that are done. doneCounted is set once the job's
	// count of open steps was decremented for the step.
	done        int
	doneCounted bool
	// failedRun is the last run of the gang that was counted as failed.
	failedRun job.RunNumber
	// runs holds the runs of the step's tasks that occupy room on workers, by
	// task index.
	runs map[int]*run
	// waitingSince is when no room was first found for the step's tasks; 0 if
	// there was room or none was sought.
	waitingSince unit.Instant
	// claim is the room that is reserved for the waiting tasks of the step.
	claim *claim
	// partialTriedAt is when room for only a part of the waiting tasks was last
	// sought.
	partialTriedAt unit.Instant
	// lastFailures holds the latest failure of each task by its index, and that
	// of a gang under 0.
	lastFailures map[int]failure
	// showsProgress is set once a run of the step has reported progress.
	showsProgress bool
	// stallStops counts the runs of each task that were stopped because they
	// made no progress, with the same keys as lastFailures.
	stallStops map[int]int
	// permits holds the answer of the advice service for each worker.
	permits map[id.Worker]permit
	// adviceInFlight is set while a question to the advice service about the
	// step is in flight.
	adviceInFlight bool
	// lostRuns holds the runs that were given up without a report.
	lostRuns []lostRun
	// baseline is the length of the step's tasks, with which the time of each
	// run is compared.
	baseline speed.Baseline
}

// run is one run of a task that occupies room on a worker.
type run struct {
	task   job.TaskID
	number job.RunNumber
	state  runState
	worker *worker
	need   job.Resources
	// isolated is set while the free room of the worker is kept empty beside the
	// run, because its task is suspected of crashing workers. isolationReserve is
	// that room, and zero for other runs.
	isolated         bool
	isolationReserve job.Resources
	// step is nil if the job is no longer known; such a run is stopped.
	step *stepState
	// knownSince is when the start order was first sent, or when this owner
	// first learned of the run.
	knownSince unit.Instant
	// startedAt is when the worker confirmed the start; 0 before.
	startedAt unit.Instant
	// signAt is the newest time at which the worker is known to have had the run, by
	// its answer to the start order or by a report; 0 if it isn't.
	signAt     unit.Instant
	checkpoint string
	percent    int
	// reportedAt is when the worker last reported checkpoint and percent,
	// progressAt when percent last increased.
	reportedAt, progressAt unit.Instant
	// load is the worker's load figure of the run: the tail latency of a
	// serving task in milliseconds, the processor time in use of any other.
	load int64
	// slowdownPercent is the percentage of its full speed by which the run was
	// last ordered to slow down; 0 at full speed.
	slowdownPercent int
	// paceOpenUntil is until when an unanswered order that sets the speed may
	// still be carried out; 0 if there is none.
	paceOpenUntil unit.Instant
	// stopSentAt is when the last stop order was sent, stopConfirmedAt when the
	// worker confirmed a stop; 0 if it hasn't, or if the order is due again.
	stopSentAt      unit.Instant
	stopConfirmedAt unit.Instant
	// missingAt is when a report that should have listed the run, but didn't,
	// arrived; 0 if the latest report lists the run.
	missingAt unit.Instant
	// startSentAt is when the last start order was sent, startOrders how many
	// were sent.
	startSentAt unit.Instant
	startOrders int
	// startLeaseExpiry is when the lease of a start order in flight has expired
	// for certain; 0 if none is in flight. lateStartLeaseExpiry is the same for
	// unanswered start orders that the next incarnation under the worker's name
	// may still carry out.
	startLeaseExpiry, lateStartLeaseExpiry unit.Instant
	// startInFlight is set while a start order has no verdict, also if the run
	// has passed to the next incarnation meanwhile.
	startInFlight bool
	// startOpenUntil is until when an unanswered start order of the run may
	// still be carried out, by whichever incarnation has the worker's name then;
	// 0 if no order is open, and for workers that don't report their start.
	startOpenUntil unit.Instant
	// startOpenRecorded is set once startOpenUntil was compared with the task's
	// record, or is kept there.
	startOpenRecorded bool
	// inFlight is set while an order for the run has no verdict.
	inFlight bool
	// startUnanswered is set once a start order has got no answer: the worker
	// may carry it out seconds later.
	startUnanswered bool
	// fromEarlierOwner is set for a run that an earlier owner ordered; its
	// start time isn't known.
	fromEarlierOwner bool
	// inheritedFrom is the incarnation on which the run was placed. It is set
	// while it is unknown whether the next incarnation under the same name has
	// the run, and otherwise empty.
	inheritedFrom id.Worker
	// reportAwaited is set once the run was kept after the expiry of its lease,
	// for its worker to report how it ended.
	reportAwaited bool
	// stopReason is the reason, for the log, why the run is stopped.
	stopReason string
	// progress follows the reports of the run to learn the speed of its worker.
	progress speed.Progress
	// startKnown is set if startedAt is exact and the run began its task from
	// the start.
	startKnown bool
}

// apply applies an event to the run's state machine. It reports false and
// changes nothing if the state doesn't allow the event.
func (r *run) apply(ev runEvent) bool {
	to, err := runChart.Next(r.state, ev)
	if err != nil {
		return false
	}
	r.state = to
	return true
}

// worker is one incarnation of a worker. Four terms describe its answers, from
// the weakest to the strongest. Answered: it has sent any answer. Synced: it
// has reported its runs. Confirmed: it has done so since a rival incarnation
// became known. Responsive: it has answered recently enough for orders to
// extend its lease.
type worker struct {
	fleet.Listing
	// name is the name that this incarnation began under. Other incarnations
	// may have begun under it as well.
	name id.WorkerName
	// pool and rackUse are the counts of the current pass that include the
	// worker; nil if new tasks may not be placed on it.
	pool    *pool
	rackUse *rackUse
	// awaitingUpkeep is set while the worker's machine is about to go down for
	// maintenance, evacuated while its failure domain is evacuated.
	awaitingUpkeep, evacuated bool
	// fenceRevision is the revision of the fence under which orders to the
	// worker are sent; it never decreases. changeSent is set once an order that
	// starts a run, grants a lease or lets the worker forget ends may have been
	// sent under it.
	fenceRevision id.FenceRevision
	changeSent    bool
	// knownSince is when this owner learned of the worker.
	knownSince unit.Instant
	// listed is set while the platform's list contains the worker. unlistedAt is
	// when its entry was last seen to be gone; 0 if it never was. unrenewed is set
	// if the entry was there at the beginning of an outage of the store and hasn't
	// been written since. presumedEnded is set once such an entry is missing, at
	// presumedAt.
	listed                   bool
	unlistedAt, presumedAt   unit.Instant
	unrenewed, presumedEnded bool
	// drainEndsAt is the earliest time at which a draining worker may end.
	// drainEndClock is a lower bound of the worker's own clock at that time; 0
	// if the worker's list entry has no clock reading.
	drainEndsAt   unit.Instant
	drainEndClock fleet.ClockReading
	// used is the part of the capacity that runs take, reserved the part that
	// claims take.
	used, reserved job.Resources
	runs           runSet
	// clockAt is when the reading Clock of the worker's clock arrived; from
	// then on the clock shows at least Clock.
	clockAt unit.Instant
	// lastAnswerAt is when its last answer arrived, firstRenewalAt when this
	// owner's first renewal was sent; 0 for never.
	lastAnswerAt, firstRenewalAt unit.Instant
	// lastEndSeen is the sequence number of the last end that was processed,
	// lastEndStored that of the last end whose record is in the store,
	// lastEndAcked that of the last end that an answered renewal let the worker
	// forget.
	lastEndSeen, lastEndStored, lastEndAcked uint64
	// unstoredEnds holds the reported ends after lastEndStored, in the order of
	// their numbers.
	unstoredEnds []fleet.End
	// withheldEnd is the sequence number of the first end that must not be
	// acknowledged; 0 if there is none.
	withheldEnd uint64
	// pacedAt is when the speed of the runs that use spare capacity was last
	// changed.
	pacedAt unit.Instant
	// syncedAsOf is when the latest renewal was sent that the worker answered
	// under the present epoch; 0 if there is none that counts. syncedClock is
	// the worker's clock in that answer, 0 if it had none.
	syncedAsOf  unit.Instant
	syncedClock fleet.ClockReading
	// syncRequestedAt is when a new report was last requested; answers to
	// renewals that were sent before don't count.
	syncRequestedAt unit.Instant
	// renewalInFlight is set while a renewal is in flight, renewalWaits if that
	// renewal may wait at the worker until a run ends. nextRenewal is when the
	// next renewal is due.
	renewalInFlight bool
	renewalWaits    bool
	nextRenewal     unit.Instant
	// renewalFailed is set if the last completed renewal got no answer and its
	// failure was handled in time. A failure that is handled late proves
	// nothing, because this host may have been frozen meanwhile.
	renewalFailed bool
	// firstLossAt is when a renewal first got no answer after the worker's last
	// answer; 0 if none did.
	firstLossAt unit.Instant
	// renewalUnanswered is set if the last renewal may have reached the worker
	// but got no answer. The next one doesn't wait at the worker, so that its
	// loss is noticed 2 s earlier.
	renewalUnanswered bool
	// lateAckAt is when the last unanswered renewal that acknowledged ends was
	// sent; 0 for never. The next incarnation under the name may carry out that
	// renewal. lateLeaseExpiry is when every lease has expired for certain that
	// an unanswered order may grant to the next incarnation.
	lateAckAt, lateLeaseExpiry unit.Instant
	// startUnansweredAt is when the latest start order was sent that counts as
	// ignored by the worker; 0 if none does.
	startUnansweredAt unit.Instant
	// suspendedUntil is the time until which the worker gets no new tasks.
	// suspendedAt is when it was suspended.
	suspendedAt, suspendedUntil unit.Instant
	// rivalSeenAt is when a rival incarnation, at the worker's address or of its
	// machine, was last listed; 0 if there is none. replaced is set once a
	// rival has answered in the worker's place, until the worker is listed
	// again.
	rivalSeenAt unit.Instant
	replaced    bool
	// grantedLeaseExpiry is when every lease that may have been granted has
	// expired for certain. renewalLeaseExpiry is the same for the renewal in
	// flight; 0 if that grants none.
	grantedLeaseExpiry, renewalLeaseExpiry unit.Instant
	// formerLeaseExpiry is when every lease has expired for certain that earlier
	// owners may have granted to the worker.
	formerLeaseExpiry unit.Instant
	// failureStreak counts the failed runs of different jobs since the last
	// success; lastFailedJob is the job of the latest one.
	failureStreak int
	lastFailedJob id.Job
	// speed is the estimate of how slow this incarnation is, speedClass its
	// class when the workers were last compared.
	speed      speed.Estimate
	speedClass speed.Class
	// slowness is the factor by which tasks take longer on the worker than on a
	// typical one. It is exactly 1 unless Dispatcher.differ is set.
	slowness float64
	// tier is the worker's tier in its pool; 0 while workers don't differ.
	// tooSlow is set if the tier is too slow for urgent work.
	tier    int
	tooSlow bool
}

// sorted returns a copy of the worker's runs, for loops that change the set.
func (w *worker) sorted() runSet { return slices.Clone(w.runs) }

// startGroup returns the states of the tasks that start and end together with
// the one at index: its whole gang, or the task alone. The job must have
// progress.
func (s *stepState) startGroup(index int) []job.TaskState {
	tasks := s.job.progress.Tasks[s.base : s.base+s.step.Count]
	if s.step.Gang {
		return tasks
	}
	return tasks[index : index+1]
}

// hasRuns reports whether a run of the job still occupies room.
func (js *jobState) hasRuns() bool {
	for _, s := range js.steps {
		if len(s.runs) > 0 {
			return true
		}
	}
	return false
}

// stepOf returns the step of a task, or nil if the job has no such task.
func (js *jobState) stepOf(t job.TaskID) *stepState {
	if _, ok := js.spec.Index(t); !ok {
		return nil
	}
	return js.steps[t.Round*len(js.spec.Steps)+t.Step]
}

// stepOfTask returns the step of a task, or nil if the job isn't known or has
// no such task.
func (d *Dispatcher) stepOfTask(t job.TaskID) *stepState {
	js := d.jobs[t.Job]
	if js == nil {
		return nil
	}
	return js.stepOf(t)
}

// task returns the name of the step's task with the given index.
func (s *stepState) task(i int) job.TaskID {
	return job.TaskID{Job: s.job.id, Round: s.round, Step: s.index, Index: i}
}
