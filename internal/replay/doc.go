// Package replay drives the scheduler with a recorded list of events, fake workers and
// a virtual clock, to compare placement policies on equal terms. It is a bench for
// decisions and no model of a cluster: messages take no time, and the log accepts at
// once whatever the reducer accepts.
package replay
