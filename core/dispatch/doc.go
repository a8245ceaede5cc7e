// Package dispatch decides, as the owner, which task runs where.
//
// The Dispatcher is a state machine without I/O. Events report jobs, workers
// and answers to it. Flush returns records for the store together with orders
// that may be sent only once the records are there; TakeOrders returns orders that
// need no record. The rules:
//
//   - A placement is in the store before its start order is sent, so that the
//     next owner knows where a task may run.
//   - An end is in the store before it is acknowledged, which lets the worker
//     forget it.
//   - A task is placed again only when its last run has ended for certain: its
//     worker reported the end, another incarnation answered in the worker's
//     place, or its lease has expired by the worst case of the worker's clock.
//     That the list no longer contains a worker or shows two incarnations, or
//     that connections fail, proves nothing. That an entry isn't written again
//     after an outage of the store only ends the wait for reports.
//   - The members of a gang are placed together and taken back together.
//   - Nothing starts in a failure domain that the operator has evacuated.
//
// All of this is one package because it reads and changes one state in one
// goroutine. Each file has one subject:
//
//   - The state: dispatcher, state (jobs, steps, runs, workers), runset and
//     config. message has the inputs and outputs, note the log events, check the
//     invariants that must hold when an order is sent.
//   - Reports of workers: answers handles verdicts and reports, outcome the ends
//     of runs. lives decides which incarnation of a machine is the present one,
//     inherit what an incarnation takes over from the previous one under its
//     name, health which workers get no new tasks for a while. absence tells
//     which workers have ended during an outage of the store, withheld which ends
//     aren't acknowledged.
//   - Giving up runs: pass (expired leases, repeated orders), lease, crash,
//     crashcount and commoncause (whether tasks cause the crashes of their
//     workers), suspect (tasks that are started apart from others), stall (runs
//     without progress) and stop.
//   - speed: how slow each worker is, learned from the progress of its runs.
//   - Placement: candidate sorts the waiting steps; pool and room compute what is
//     free; place, gang and rack choose workers, tiers those of a suitable speed;
//     preempt, claim and reserve free and reserve room; loss is the cost of a
//     stop; window bounds the start orders in flight; flush writes a placement
//     before its order.
//   - Kinds of work: jobs (from acceptance to the end), lasting (long-running
//     tasks), permit and advice (steps that need the permission of the advice
//     service), pace (tasks that slow each other down), upkeep and machine
//     (machines that are taken down for maintenance, and their incarnations),
//     evacuation (failure domains where nothing may start).
package dispatch
