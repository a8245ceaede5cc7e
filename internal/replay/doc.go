// Package replay simulates the scheduler on a trace of events, with fake workers
// and a virtual clock, to compare placement policies under equal conditions. It
// tests scheduling decisions and does not model a cluster: messages take no time,
// and the log immediately accepts every entry that the state accepts.
//
// As on real workers, a new task is gated: it holds its accelerators, and runs once
// the scheduler opens its gate. Package core/worker describes this protocol.
package replay
