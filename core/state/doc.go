// Package state replays the log into the state that all hosts share.
//
// State is a deterministic reducer: the same records give the same state on every
// host, byte for byte, whoever replays them and whenever. It reads no clock and
// draws no random number. Each entry of a record is accepted or void, for a reason
// that depends on the earlier records only, so all hosts reach the same verdict.
//
// What the reducer refuses can't happen, however confused a writer is: a second
// owner of one epoch, two gangs on one accelerator, a second start of a job that
// must not be repeated, a configuration that reverts, and a placement or a
// configuration that would leave a guarantee without a place.
package state
