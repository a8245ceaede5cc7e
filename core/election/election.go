// Package election decides when a host claims to be the owner of scheduling.
//
// The platform's store keeps the group of live hosts and drops a host that is silent.
// The owner is whoever wrote the newest claim. A host claims when the owner is missing
// from the group in several looks in a row; hosts claim one after the other, by a rank
// that they all agree on, and the store takes only a claim that follows the newest
// state. A claim too many is harmless: it costs one change of owner.
package election

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// missedLooks is how many looks in a row must miss the owner. One may fall
	// into a moment in which the store deals its partitions anew.
	missedLooks = 2
	// stagger is the head start of each rank over the next: a claim and a look
	// take about 50 ms.
	stagger = 250 * time.Millisecond
	// fresh is how old the newest look may be for a claim: hosts look every 500 ms, so
	// two looks may be lost.
	fresh = 1500 * time.Millisecond
	// standbyHosts is how many hosts, by rank, are ready to claim at once. One of them is
	// mostly the owner itself, and another may die together with it.
	standbyHosts = 3
)

// Election is what one host knows of the group. The zero value is not ready; call New.
type Election struct {
	self id.Host
	// members is the newest look at the group, looked when it was made.
	members []id.Host
	looked  unit.Instant
	// missed counts the looks in a row without the owner, since is the first.
	missed int
	since  unit.Instant
}

// New returns the election of a host.
func New(self id.Host) *Election { return &Election{self: self} }

// Look takes in the members of the group and who the owner is by the newest claim.
func (e *Election) Look(now unit.Instant, members []id.Host, owner id.Host) {
	e.members, e.looked = members, now
	if owner != "" && slices.Contains(members, owner) {
		e.missed = 0
		return
	}
	if e.missed == 0 {
		e.since = now
	}
	e.missed++
}

// Released notes that the owner has given its ownership back.
func (e *Election) Released(now unit.Instant) {
	if e.missed < missedLooks {
		e.missed, e.since = missedLooks, now
	}
}

// Claim reports whether the host is to claim now.
func (e *Election) Claim(now unit.Instant) bool {
	if e.missed < missedLooks || now.Sub(e.looked) > fresh || !slices.Contains(e.members, e.self) {
		return false
	}
	place := rank.Of(e.self, "owner", e.members)
	return now.Sub(e.since) >= time.Duration(place)*stagger
}

// Standby reports whether this host is among the first that would claim. A host that
// hasn't seen the group yet may be.
func (e *Election) Standby() bool {
	return len(e.members) == 0 || rank.Of(e.self, "owner", e.members) < standbyHosts
}

// Suspects reports whether the owner was missing in the newest look.
func (e *Election) Suspects() bool { return e.missed > 0 }
