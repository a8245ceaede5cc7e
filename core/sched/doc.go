// Package sched is the owner's side of scheduling: which job runs next, where, and
// what has to make room for it.
//
// A Scheduler reads the replayed state and adds what only the owner knows: the
// gangs under way, which workers answer, and how long jobs of a customer really
// run. It writes nothing itself. Its decisions are log entries and worker syncs
// that the caller carries out, and nothing it believes counts until the log
// accepted it.
//
// The order of a pass is: move the gangs on, refuse what can never run, then walk
// the queue. A job is first tried within its customer's guarantees, where it may
// preempt borrowers, and then on borrowed capacity, where it may not. The oldest
// job that finds no room gets a reservation: a block that later jobs may use only
// if they are expected to end before it is free.
package sched
