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
package dispatch
