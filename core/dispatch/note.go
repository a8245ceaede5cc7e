package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// Event names what a note reports. It is the message of the log line and a
// label of a metric, so the texts must not change.
type Event string

// The events.
const (
	// EventWorkerListed: the platform's list contains a new worker.
	EventWorkerListed Event = "worker-listed"
	// EventWorkerUnlisted: the list no longer contains a worker.
	EventWorkerUnlisted Event = "worker-unlisted"
	// EventWorkerPresumedEnded: a worker that went from the list during an outage
	// of the store hasn't come back; the age is the time since its last answer,
	// the estimate is how long its leases may still be valid.
	EventWorkerPresumedEnded Event = "worker-presumed-ended"
	// EventWorkerDraining: a worker is draining; the age is how long it stays.
	EventWorkerDraining Event = "worker-draining"
	// EventWorkerContested: a worker has the same name, address or machine as
	// another incarnation. Neither gets new tasks until it answers. Why names
	// the other incarnation; the age is the time since the worker's last
	// answer.
	EventWorkerContested Event = "worker-contested"
	// EventWorkerReplaced: another incarnation has answered in a worker's
	// place; why names the evidence.
	EventWorkerReplaced Event = "worker-replaced"
	// EventWorkerSuspended: a worker gets no new tasks for as long as the age.
	EventWorkerSuspended Event = "worker-suspended"
	// EventWorkerSpeed: a worker has turned out to be fast or slow, or no longer
	// is. Why has its class before and now, the factor and the number of
	// observations; the age is that of the latest observation.
	EventWorkerSpeed Event = "worker-speed"
	// EventOwnerFenced: a worker has seen a later epoch, or this owner can't
	// raise the fence any more.
	EventOwnerFenced Event = "owner-fenced"
	// EventLeasesWithheld: another host may be the owner, so that no lease is
	// extended and nothing starts; the age is how long ago it was last certain
	// that no other host was the owner. EventLeasesGranted: leases are extended
	// again.
	EventLeasesWithheld Event = "leases-withheld"
	EventLeasesGranted  Event = "leases-granted"
	// EventDomainEvacuated: the operator has evacuated a failure domain; why
	// has its numbers of workers and runs. EventDomainOpened: the evacuation is
	// revoked.
	EventDomainEvacuated Event = "domain-evacuated"
	EventDomainOpened    Event = "domain-opened"
	// EventStartsWithheld: nothing starts, because the owner's knowledge of
	// evacuations or cancellations is out of date; the age is that of the
	// knowledge, and why says of which. EventStartsResumed: that knowledge is up
	// to date again.
	EventStartsWithheld Event = "starts-withheld"
	EventStartsResumed  Event = "starts-resumed"
	// EventTaskPlaced: a task is placed on a worker; why is its rack.
	EventTaskPlaced Event = "task-placed"
	// EventStartRejected: a worker refused a start order.
	EventStartRejected Event = "start-rejected"
	// EventStartOvertaken: the run of a start order, or a later run of the
	// task, has already ended on the worker.
	EventStartOvertaken Event = "start-overtaken"
	// EventStartOpen: a start order got no answer and may be carried out later,
	// by a later incarnation too; age is for how much longer.
	EventStartOpen Event = "start-open"
	// EventTaskStop: a run is ordered to stop.
	EventTaskStop Event = "task-stop"
	// EventTaskPaced: the speed of a run is changed.
	EventTaskPaced Event = "task-paced"
	// EventTaskEnded: a worker reports that a run has ended.
	EventTaskEnded Event = "task-ended"
	// EventUnknownEnd: a worker lists the end of a run that the owner doesn't
	// know on that worker.
	EventUnknownEnd Event = "unknown-end"
	// EventTaskLost: a run has ended for certain, but no worker reported how.
	EventTaskLost Event = "task-lost"
	// EventReportAwaited: a run is over by its lease, and is kept for a while
	// because its worker may report that it was done.
	EventReportAwaited Event = "report-awaited"
	// EventTaskInherited: the next incarnation under its worker's name may have
	// carried out the start order of a run, which is now expected there; why
	// names the incarnation that it was placed on.
	EventTaskInherited Event = "task-inherited"
	// EventCrashCounted: a worker's incarnation has ended without a report
	// while a run was on it. Why has the crash counts of the task; the age is
	// how long after the run's start the worker last answered.
	EventCrashCounted Event = "crash-counted"
	// EventCrashRetracted: a crash that was counted for a run is taken back;
	// why has the evidence against it.
	EventCrashRetracted Event = "crash-retracted"
	// EventCrashExcused: so many workers crashed together that their tasks are
	// assumed not to be the cause.
	EventCrashExcused Event = "crash-excused"
	// EventTaskIsolated: a task under which a worker has crashed is placed on a
	// worker where nothing else starts until the task has run for a while. Why
	// says what else runs there.
	EventTaskIsolated Event = "task-isolated"
	// EventTaskVanished: a worker no longer lists a run; the age is the time
	// since the answered renewal was sent.
	EventTaskVanished Event = "task-vanished"
	// EventAdviceAsked: the advice service is asked about a step; the estimate
	// is how long it takes.
	EventAdviceAsked Event = "advice-asked"
	// EventAdviceTaken: the service has answered; the estimate is how long its
	// permits are valid.
	EventAdviceTaken Event = "advice-taken"
	// EventAdviceMissed: a question got no answer, or was refused.
	EventAdviceMissed Event = "advice-missed"
	// EventWaveSeen: the operator requests a wave of maintenance; the estimate
	// is the longest time that the wave may take.
	EventWaveSeen Event = "wave-seen"
	// EventUpkeepBegins: the maintenance of a machine begins: it gets no new
	// tasks, and is emptied.
	EventUpkeepBegins Event = "upkeep-begins"
	// EventUpkeepOrdered: an order to take a machine down is sent, for the
	// first time or again.
	EventUpkeepOrdered Event = "upkeep-ordered"
	// EventUpkeepAnswered: the result of such an order; why is the verdict.
	EventUpkeepAnswered Event = "upkeep-answered"
	// EventWaveFinished: each machine of a wave has had its maintenance.
	EventWaveFinished Event = "wave-finished"
	// EventStartsBounded: no more tasks are placed in this pass, because too
	// many start orders have no verdict yet; the job is the first that waits
	// for that reason.
	EventStartsBounded Event = "starts-bounded"
	// EventRoomClaimed: room is reserved for a step, for as long as the
	// estimate.
	EventRoomClaimed Event = "room-claimed"
	// EventGuaranteeAtRisk: urgent work within a guarantee finds no room, even
	// by stopping other runs.
	EventGuaranteeAtRisk Event = "guarantee-at-risk"
	// EventJobBegun: it is known that a worker has begun a task of a job, for the
	// first time under this owner. Why says from what; the age is the time since
	// the job was accepted.
	EventJobBegun Event = "job-begun"
	// EventJobEnded: a job has its outcome.
	EventJobEnded Event = "job-ended"
	// EventTombstonesEnd: tombstones of jobs expire, or the keys of expired ones are
	// deleted; Why says how many of how many.
	EventTombstonesEnd Event = "tombstones-end"
	// EventMachinesIncomplete: a read of the list of machines lacks a worker that
	// the list of workers has, so that it isn't used; the age is that of the read.
	EventMachinesIncomplete Event = "machines-incomplete"
	// EventEndWithheld: a run that was given up is reported as done after its task
	// was started again. The end isn't acknowledged, and the worker gets no new
	// tasks.
	EventEndWithheld Event = "end-withheld"
	// EventViolated: an invariant didn't hold. The decision was not carried
	// out.
	EventViolated Event = "invariant-violated"
)

// Note is one decision, for the log. Fields that don't apply are empty.
type Note struct {
	Event  Event
	Job    id.Job
	Task   job.TaskID
	Worker id.Worker
	Run    job.RunNumber
	Why    string
	// Estimate is the customer's estimate of the run time concerned, if the
	// event doesn't say otherwise.
	Estimate time.Duration
	// Age is the age of the state on which the decision is based, if the event
	// doesn't say otherwise.
	Age time.Duration
}

// note records a decision for the log.
func (d *Dispatcher) note(n Note) { d.notes = append(d.notes, n) }

// noteRun records a decision on a run.
func (d *Dispatcher) noteRun(ev Event, r *run, why string, age time.Duration) {
	d.note(Note{Event: ev, Job: r.task.Job, Task: r.task, Worker: r.worker.ID, Run: r.number, Why: why, Age: age})
}

// noteJob records a decision on a job. The note's age is the time since the job
// was accepted.
func (d *Dispatcher) noteJob(ev Event, now unit.Instant, js *jobState, why string, estimate time.Duration) {
	d.note(Note{Event: ev, Job: js.id, Why: why, Estimate: estimate, Age: now.Sub(js.spec.Accepted)})
}
