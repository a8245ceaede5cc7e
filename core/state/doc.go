// Package state replays the log into the state that all hosts share.
//
// State is a deterministic reducer: the same records give the same state on every
// host, byte for byte. It reads no clock and uses no random numbers. Each entry of a
// record is either accepted or void. This verdict depends on the earlier records
// only, so all hosts compute the same one.
//
// The reducer rejects the following, whatever a faulty writer appends to the log:
// a second owner of one epoch, two gangs on one accelerator, a second start of a
// job that must not be repeated, a return to an earlier configuration, and a
// placement or a configuration that would leave a guarantee without a place.
package state
