// Package sched is the scheduler of the owner (leader): it decides which job
// runs next, on which accelerators, and which gangs are preempted to make room.
//
// A Scheduler reads the replicated state and adds what only the owner knows: the
// gangs in flight, which workers respond, and how long the jobs of each customer
// run in practice. It performs no I/O. Its decisions are log entries and worker
// syncs that the caller writes and sends, and no task runs until the log has
// accepted its placement.
//
// Each step first advances the gangs. If a scheduling pass is due, it then refuses
// jobs that can never run and tries the waiting groups of jobs. A job is first
// tried within its customer's guarantees, where it may preempt borrowers, and then
// on borrowed capacity, where only an urgent job may preempt. The first job that
// finds no room gets a reservation: a block that other jobs may use only if they
// are expected to end before it becomes free.
package sched
