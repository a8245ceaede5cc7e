// Package node is the decision core of an entry host: a state machine that takes
// an event and returns the actions to carry out.
//
//	actions := n.Step(now, event)
//
// All decisions of a host are made here, in the packages that node combines: the
// replayed state, the journal of the host's own entries, the election of the owner,
// the scheduler while this host is the owner, and the router of requests. Package
// node does no I/O, reads no clock and starts no goroutine, so it runs the same in
// the real process, in a test and in a simulation with a virtual clock.
package node
