// Package owner decides when a host should claim the ownership of scheduling.
//
// A host becomes the owner only by a claim that is accepted in the log. This
// package decides when to write a claim: when the owner's heartbeat, which peers
// forward to each other, has not advanced for HeartbeatTimeout. An unnecessary
// claim is harmless, because a claim names the epoch that it replaces and at most
// one claim for each epoch is accepted. Hosts are ranked for each epoch, and each
// rank waits ClaimStagger longer than the one before it, so that usually only one
// host claims.
package owner

import (
	"strconv"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/unit"
)

// Delays before a claim.
const (
	// HeartbeatTimeout is the maximum time without progress of the owner's
	// heartbeat before a host claims.
	HeartbeatTimeout = 3 * time.Second
	// ClaimStagger is the additional delay of each rank over the one before it.
	ClaimStagger = 400 * time.Millisecond
)

// Heartbeat is a heartbeat of the owner. Heartbeats are ordered by Epoch, Count and
// Leaving.
type Heartbeat struct {
	Epoch id.Epoch `cbor:"1,keyasint" json:"epoch"`
	// Count increases with each heartbeat.
	Count uint64 `cbor:"2,keyasint" json:"count"`
	// Leaving is set while the owner is draining.
	Leaving bool `cbor:"3,keyasint,omitempty" json:"leaving,omitempty"`
}

// after reports whether h is later than o.
func (h Heartbeat) after(o Heartbeat) bool {
	if h.Epoch != o.Epoch {
		return h.Epoch > o.Epoch
	}
	return h.Count > o.Count || h.Count == o.Count && h.Leaving && !o.Leaving
}

// Election is one host's view of the ownership.
type Election struct {
	self id.Host
	// last is the latest heartbeat received, lastAt when it arrived.
	last   Heartbeat
	lastAt unit.Instant
	// claimedAt is when this host last made a claim. replacedEpoch is the epoch
	// that the claim was to replace.
	claimedAt     unit.Instant
	replacedEpoch id.Epoch
}

// New returns the election of a host that has just started.
func New(self id.Host, now unit.Instant) *Election {
	return &Election{self: self, lastAt: now}
}

// ReceiveHeartbeat records a heartbeat received from any peer.
func (e *Election) ReceiveHeartbeat(now unit.Instant, h Heartbeat) {
	if h.after(e.last) {
		e.last, e.lastAt = h, now
	}
}

// Heartbeat returns the latest heartbeat, to be forwarded to peers. The owner calls
// Advance instead.
func (e *Election) Heartbeat() Heartbeat { return e.last }

// Advance returns the owner's next heartbeat, which it also records. Only the
// owner calls it.
func (e *Election) Advance(now unit.Instant, epoch id.Epoch, leaving bool) Heartbeat {
	e.ReceiveHeartbeat(now, Heartbeat{Epoch: epoch, Count: e.last.Count + 1, Leaving: leaving})
	return e.last
}

// ClaimAccepted records that the claim of epoch was accepted in the log.
func (e *Election) ClaimAccepted(now unit.Instant, epoch id.Epoch) {
	e.ReceiveHeartbeat(now, Heartbeat{Epoch: epoch})
}

// ShouldClaim reports whether the host should claim the ownership now. Current is
// the epoch in force; live lists the live hosts, including this one, in any order.
func (e *Election) ShouldClaim(now unit.Instant, current id.Epoch, live []id.Host) bool {
	if e.last.Epoch > current {
		// A peer knows of a newer owner, whose claim this host has yet to read from
		// the log.
		return false
	}
	wait := HeartbeatTimeout
	if e.last.Leaving || current == 0 {
		wait = 0
	}
	position := rank.Of(e.self, strconv.FormatUint(uint64(current), 10), live)
	wait += time.Duration(position) * ClaimStagger
	if now.Sub(e.lastAt) < wait {
		return false
	}
	if e.replacedEpoch == current && e.claimedAt != 0 && now.Sub(e.claimedAt) < HeartbeatTimeout {
		return false
	}
	e.claimedAt, e.replacedEpoch = now, current
	return true
}
