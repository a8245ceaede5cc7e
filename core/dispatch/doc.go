// Package dispatch decides, as the owner, which task runs where.
//
// The Dispatcher is a state machine without I/O. Events tell it of jobs, workers and
// answers; Flush returns records for the store together with orders that may leave
// only when the records are there; Take returns orders that need no record. The rules:
//
//   - A placement is in the store before the order to start leaves, so the next owner
//     knows where a task may run.
//   - An end is in the store before the worker is told that it may forget it.
//   - A task is placed again only when its last run has surely ended: its worker said
//     so, another life has answered in its place, or its lease has lapsed by the worst case
//     of its clock. That the list drops a worker or shows two lives, or that connections
//     fail, proves nothing.
//   - The members of a gang are placed together and taken back together.
//   - Nothing starts in a failure domain that the operator has evacuated.
//
// One package holds all of it, because all of it reads and changes one state in one goroutine; a file is a matter:
//
//   - The state: dispatcher, state (jobs, steps, runs, workers), runset, config; message is what goes in and out, note what is logged, check
//     what must hold as an order leaves.
//   - What workers say: answers takes in verdicts and reports, outcome the ends of runs, lives which life of a machine is the present one, inherit
//     what a life takes over from the one before under its name, health who is kept away from for a while.
//   - When a run is given up: pass (lapsed leases, orders that are repeated), lease, crash, crashcount
//     and commoncause (what crashes of workers say of tasks), suspect
//     (tasks that are started apart), stall (runs without progress), stop.
//   - Where tasks go: candidate orders what waits, pool and room are what is free, place, gang and rack choose, preempt, claim and reserve free and keep
//     room, loss is what a stop costs, window bounds the starts under way, flush writes a placement before its order.
//   - Kinds of work: jobs (from acceptance to the end), lasting, permit and advice (steps that need leave), pace (tasks that disturb each other),
//     upkeep and machine (machines that are taken down, and their lives), evacuation (failure domains where nothing may start).
package dispatch
