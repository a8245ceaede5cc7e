package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// Event is what a note tells of. It is the message of the log line and a label of a
// metric, so the texts stay as they are.
type Event string

// The events.
const (
	// EventWorkerListed: the platform's list has a worker that it had not.
	EventWorkerListed Event = "worker-listed"
	// EventWorkerUnlisted: the list has dropped a worker.
	EventWorkerUnlisted Event = "worker-unlisted"
	// EventWorkerDraining: a worker is to leave; the age is how long it stays.
	EventWorkerDraining Event = "worker-draining"
	// EventWorkerContested: another life at a worker's address, or of its machine, is known; each of them
	// gets no new tasks until it answers. Why names the other one, the age is that of the worker's last answer.
	EventWorkerContested Event = "worker-contested"
	// EventWorkerReplaced: another life has answered in a worker's place; why says how that is known.
	EventWorkerReplaced Event = "worker-replaced"
	// EventWorkerSuspended: a worker gets no tasks for a while, as long as the age.
	EventWorkerSuspended Event = "worker-suspended"
	// EventOwnerFenced: a worker has seen a later owner.
	EventOwnerFenced Event = "owner-fenced"
	// EventLeasesWithheld: another host may be the owner, so that no lease is extended and nothing starts; the
	// age is that of the newest assurance. EventLeasesGranted: that has ended.
	EventLeasesWithheld Event = "leases-withheld"
	EventLeasesGranted  Event = "leases-granted"
	// EventDomainEvacuated: the operator has evacuated a failure domain; why says how much of the site that is. EventDomainOpened:
	// that is taken back.
	EventDomainEvacuated Event = "domain-evacuated"
	EventDomainOpened    Event = "domain-opened"
	// EventStartsWithheld: nothing starts, because what the operator has asked for may have changed; the age is that of what is
	// known. EventStartsResumed: that has ended.
	EventStartsWithheld Event = "starts-withheld"
	EventStartsResumed  Event = "starts-resumed"
	// EventTaskPlaced: a task is to run on a worker; why is its rack.
	EventTaskPlaced Event = "task-placed"
	// EventStartRejected: a worker did not carry out an order to start.
	EventStartRejected Event = "start-rejected"
	// EventStartOvertaken: a worker has seen the ordered run, or a later one, end.
	EventStartOvertaken Event = "start-overtaken"
	// EventTaskStop: a run is ordered to stop.
	EventTaskStop Event = "task-stop"
	// EventTaskPaced: a run is to work slower or faster.
	EventTaskPaced Event = "task-paced"
	// EventTaskEnded: a worker says that a run has ended.
	EventTaskEnded Event = "task-ended"
	// EventUnknownEnd: a worker lists the end of a run that isn't known there.
	EventUnknownEnd Event = "unknown-end"
	// EventTaskLost: a run has surely ended, and nobody says how.
	EventTaskLost Event = "task-lost"
	// EventTaskInherited: the next life under its worker's name may have taken the order to start a run, which is looked for there; why
	// names the life that it was placed on.
	EventTaskInherited Event = "task-inherited"
	// EventCrashCounted: a worker's life has ended under a run, without a word; why tells the counts, the age is how long
	// after the run's start the worker last answered.
	EventCrashCounted Event = "crash-counted"
	// EventCrashRetracted: a worker that was taken to have crashed under a run tells of it.
	EventCrashRetracted Event = "crash-retracted"
	// EventCrashExcused: so many workers crashed together that the tasks there are taken not to be the cause.
	EventCrashExcused Event = "crash-excused"
	// EventTaskIsolated: a task under which a worker has crashed is placed where nothing else begins until it has gone on
	// for a while; why says beside what.
	EventTaskIsolated Event = "task-isolated"
	// EventTaskVanished: a worker doesn't list a run any more; the age is the answer's.
	EventTaskVanished Event = "task-vanished"
	// EventAdviceAsked: the advice service is asked for a step; the estimate is how long
	// it takes.
	EventAdviceAsked Event = "advice-asked"
	// EventAdviceTaken: the service has answered; the estimate is how long its permits
	// hold.
	EventAdviceTaken Event = "advice-taken"
	// EventAdviceMissed: a question got no answer, or was refused.
	EventAdviceMissed Event = "advice-missed"
	// EventWaveSeen: the operator asks for a wave of maintenance; the estimate is the time
	// that is left for it.
	EventWaveSeen Event = "wave-seen"
	// EventUpkeepBegins: a machine is emptied, ordered down or refused.
	EventUpkeepBegins Event = "upkeep-begins"
	// EventUpkeepOrdered: a machine is ordered down.
	EventUpkeepOrdered Event = "upkeep-ordered"
	// EventUpkeepAnswered: what became of such an order; why is the verdict.
	EventUpkeepAnswered Event = "upkeep-answered"
	// EventWaveFinished: each machine of a wave has had its maintenance.
	EventWaveFinished Event = "wave-finished"
	// EventStartsBounded: no more tasks are placed in this pass, because so many orders have no
	// verdict yet; the job is the first that waits for it.
	EventStartsBounded Event = "starts-bounded"
	// EventRoomClaimed: room is kept for a step, for as long as the estimate.
	EventRoomClaimed Event = "room-claimed"
	// EventGuaranteeAtRisk: urgent work within a guarantee finds no room, even by stops.
	EventGuaranteeAtRisk Event = "guarantee-at-risk"
	// EventJobEnded: a job has its outcome.
	EventJobEnded Event = "job-ended"
	// EventViolated: an invariant did not hold. The decision was not carried out.
	EventViolated Event = "invariant-violated"
)

// Note is one decision, for the log. Fields that don't apply are empty.
type Note struct {
	Event  Event
	Job    id.Job
	Task   job.Task
	Worker id.Worker
	Run    job.Run
	Why    string
	// Estimate is the customer's guess of the time that is at stake.
	Estimate time.Duration
	// Age is how old the state was that the decision rests on, if the event says
	// nothing else.
	Age time.Duration
}

// note keeps a decision for the log.
func (d *Dispatcher) note(n Note) { d.notes = append(d.notes, n) }

// noteRun keeps a decision on a run.
func (d *Dispatcher) noteRun(ev Event, r *run, why string, age time.Duration) {
	d.note(Note{Event: ev, Job: r.task.Job, Task: r.task, Worker: r.worker.ID, Run: r.number, Why: why, Age: age})
}

// noteJob keeps a decision on a job; its age is that of the job.
func (d *Dispatcher) noteJob(ev Event, now unit.Instant, js *jobState, why string, estimate time.Duration) {
	d.note(Note{Event: ev, Job: js.id, Why: why, Estimate: estimate, Age: now.Sub(js.spec.Accepted)})
}
