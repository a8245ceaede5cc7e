// Package node is the decision core of an entry host: one state machine that is
// told what happened and answers with what to do.
//
//	actions := n.Step(now, event)
//
// Everything that a host decides is decided here, in the packages that node joins
// together: the replayed state, the journal of own entries, the election of the
// owner, the scheduler while this host is the owner, and the router of requests.
// Node does no I/O, reads no clock and starts no goroutine, so anything can drive
// it: the shell of the real process, a test, or a bench with a virtual clock.
package node
