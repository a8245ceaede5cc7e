// Package owner decides when a host should claim the ownership of scheduling.
//
// The log alone makes an owner. This package only guesses when a claim is worth a
// record: when the owner's heartbeat, passed on from peer to peer, has not advanced
// for a while. A wrong guess is harmless, because a claim names the epoch that it
// replaces and at most one claim for each epoch is accepted. Hosts wait for a time
// that grows with their rank for the epoch, so that usually one claims.
package owner

import (
	"strconv"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/unit"
)

// The times of an election.
const (
	// Suspect is how long the owner's heartbeat may stand still.
	Suspect = 3 * time.Second
	// Stagger is what each rank waits more than the one before.
	Stagger = 400 * time.Millisecond
)

// Heartbeat is the owner's heartbeat. The larger of two beats is the later one.
type Heartbeat struct {
	Epoch id.Epoch `cbor:"1,keyasint" json:"epoch"`
	// Count grows while the owner lives.
	Count uint64 `cbor:"2,keyasint" json:"count"`
	// Leaving is set when the owner is about to stop.
	Leaving bool `cbor:"3,keyasint,omitempty" json:"leaving,omitempty"`
}

func (b Heartbeat) after(o Heartbeat) bool {
	if b.Epoch != o.Epoch {
		return b.Epoch > o.Epoch
	}
	return b.Count > o.Count || b.Count == o.Count && b.Leaving && !o.Leaving
}

// Election is one host's view of the ownership.
type Election struct {
	self id.Host
	// last is the latest beat heard and at when it was.
	last Heartbeat
	at   unit.Instant
	// claimed is when this host last asked for a claim of epoch replaced.
	claimed  unit.Instant
	replaced id.Epoch
}

// New returns the view of a host that has just started.
func New(self id.Host, now unit.Instant) *Election {
	return &Election{self: self, at: now}
}

// Hear takes in a beat from any peer.
func (e *Election) Hear(now unit.Instant, b Heartbeat) {
	if b.after(e.last) {
		e.last, e.at = b, now
	}
}

// Heartbeat returns the latest beat, to be passed on. The owner calls Advance instead.
func (e *Election) Heartbeat() Heartbeat { return e.last }

// Advance counts the owner's own heartbeat up and returns it.
func (e *Election) Advance(now unit.Instant, epoch id.Epoch, leaving bool) Heartbeat {
	e.Hear(now, Heartbeat{Epoch: epoch, Count: e.last.Count + 1, Leaving: leaving})
	return e.last
}

// Accepted takes in that the log made a new owner.
func (e *Election) Accepted(now unit.Instant, epoch id.Epoch) {
	e.Hear(now, Heartbeat{Epoch: epoch})
}

// Claim reports whether the host should claim now. Current is the epoch in force
// and live the hosts that are up, in any order, this one included.
func (e *Election) Claim(now unit.Instant, current id.Epoch, live []id.Host) bool {
	if e.last.Epoch > current {
		// A peer has seen a newer owner; the log will tell.
		return false
	}
	wait := Suspect
	if e.last.Leaving || current == 0 {
		wait = 0
	}
	place := rank.Of(e.self, strconv.FormatUint(uint64(current), 10), live)
	wait += time.Duration(place) * Stagger
	if now.Sub(e.at) < wait {
		return false
	}
	if e.replaced == current && e.claimed != 0 && now.Sub(e.claimed) < Suspect {
		return false
	}
	e.claimed, e.replaced = now, current
	return true
}
