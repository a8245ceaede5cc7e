// Package election decides when a host claims to be the owner of scheduling, and when an
// owner hands over to an abler host.
//
// The platform's store keeps the group of live hosts and drops a host that is silent.
// The owner is whoever wrote the newest claim. A host claims when the owner is missing
// from the group in several looks in a row, or when most of the first hosts in rank get no answer
// from it to questions of their own; hosts claim one after the other, the ablest
// first and equal ones by a rank that they all agree on, and the store refuses a claim whose
// epoch is below one that it has seen. A claim too many is harmless: it costs one change of owner.
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
	// fresh is how old the newest look may be for a claim: the first hosts look every 500 ms, so
	// two looks may be lost.
	fresh = 1500 * time.Millisecond
	// standbyHosts is how many hosts, by rank, are ready to claim at once. One of them is
	// mostly the owner itself, and another may die together with it.
	standbyHosts = 3
	// lookEvery is the pause between two looks of the first hosts in rank, lookSoon that of any host while the owner is missing.
	lookEvery = 500 * time.Millisecond
	lookSoon  = 120 * time.Millisecond
	// lookRarely is the pause of hosts from place rareFrom on. They claim 2 s after they have first missed the owner, when all before them have
	// not; a look may be so old then. On many hosts looks are a good part of all calls to the store.
	lookRarely = 1200 * time.Millisecond
	rareFrom   = 8
	// settle is how long a new owner isn't suspected. The group shows a host only once it holds
	// a partition, and while many hosts join at once they are dealt anew again and again, so that one owner would
	// follow the other. A dead one is missed for a second anyway.
	settle = time.Second
	// ablerFactor is how much abler another host must be for the owner to hand over, and
	// ablerFor how long it must have been in the group without a break: a change of owner
	// costs about 0.3 s without new starts, and a host that comes and goes would cost it
	// again and again.
	ablerFactor = 1.5
	ablerFor    = 2 * time.Second
	// tenure is the least time between a claim and a hand-over to an abler host, so that a
	// host that can be seen but can't claim doesn't make owners alternate.
	tenure = 5 * time.Second
)

// Member is one host of the group.
type Member struct {
	Host id.Host
	// Ability is how many tasks a second the host can start as the owner; 0 if it isn't
	// known.
	Ability int
}

// Election is what one host knows of the group. The zero value is not ready; call New.
type Election struct {
	self Member
	// members is the newest look at the group, looked when it was made.
	members []Member
	looked  unit.Instant
	// missed counts the looks in a row without the owner, since is the first.
	missed int
	since  unit.Instant
	// claimed is when the newest claim was seen; 0 if none was, or the owner has given the
	// ownership back since.
	claimed unit.Instant
	// ablerSince is since when every look has shown a much abler host; 0 if the newest
	// one has not.
	ablerSince unit.Instant
	// owned is when this host last became the owner; 0 before.
	owned unit.Instant
	// silence is what this host's own questions to the owner tell.
	silence silence
}

// rankKey is what equally able hosts are ranked for.
const rankKey = "owner"

// New returns the election of a host.
func New(self Member) *Election { return &Election{self: self} }

// Look takes in the members of the group and who the owner is by the newest claim.
func (e *Election) Look(now unit.Instant, members []Member, owner id.Host) {
	if now.Sub(e.looked) > fresh {
		e.silence.agreed = 0 // this host may have been cut off itself
	}
	e.members, e.looked = members, now
	e.lookForAbler(now)
	if owner != "" && contains(members, owner) {
		e.missed = 0
		return
	}
	if e.missed == 0 {
		e.since = now
	}
	e.missed++
}

// Known notes who the owner is when a host first knows. Looks that were made before that have missed
// an owner that nobody knew; if the newest one shows the real one, it isn't missing.
func (e *Election) Known(owner id.Host) {
	if contains(e.members, owner) {
		e.missed = 0
	}
}

// lookForAbler notes since when a much abler host is in the group.
func (e *Election) lookForAbler(now unit.Instant) {
	abler := slices.ContainsFunc(e.members, func(m Member) bool {
		return float64(m.Ability) >= ablerFactor*float64(e.self.Ability) && m.Ability > 0
	})
	switch {
	case !abler:
		e.ablerSince = 0
	case e.ablerSince == 0:
		e.ablerSince = now
	}
}

// Claimed notes that some host has claimed. It is taken to live until looks miss it: without
// that, all hosts that have missed the former owner go on to claim.
func (e *Election) Claimed(now unit.Instant) {
	e.missed, e.since, e.claimed = 0, now, now
	e.silence = silence{}
}

// Owned notes that this host has become the owner.
func (e *Election) Owned(now unit.Instant) { e.owned = now }

// Yields reports whether this host, as the owner, is to hand over to an abler one.
func (e *Election) Yields(now unit.Instant) bool {
	return e.ablerSince != 0 && now.Sub(e.ablerSince) >= ablerFor && now.Sub(e.owned) >= tenure && now.Sub(e.looked) <= fresh
}

// Released notes that the owner has given its ownership back.
func (e *Election) Released(now unit.Instant) {
	e.claimed = 0
	if e.missed < missedLooks {
		e.missed, e.since = missedLooks, now
	}
}

// Claim reports whether the host is to claim now.
func (e *Election) Claim(now unit.Instant) bool {
	if now.Sub(e.looked) > fresh || !contains(e.members, e.self.Host) {
		return false
	}
	if e.claimed != 0 && now.Sub(e.claimed) < settle {
		return false
	}
	if e.replaces(now) {
		return true
	}
	return e.missed >= missedLooks && now.Sub(e.since) >= time.Duration(e.place())*stagger
}

// place returns how many members claim before this host: all that are abler, and those as able
// that rank before it.
func (e *Election) place() int {
	before := 0
	var equals []id.Host
	for _, m := range e.members {
		switch {
		case m.Ability > e.self.Ability:
			before++
		case m.Ability == e.self.Ability:
			equals = append(equals, m.Host)
		}
	}
	return before + rank.Of(e.self.Host, rankKey, equals)
}

// Standby reports whether this host is among the first that would claim. A host that
// hasn't seen the group yet may be.
func (e *Election) Standby() bool { return len(e.members) == 0 || e.place() < standbyHosts }

// NextLook returns the pause until the next look at the group.
func (e *Election) NextLook() time.Duration {
	switch {
	case e.Suspects():
		return lookSoon
	case len(e.members) > 0 && e.place() >= rareFrom:
		return lookRarely
	}
	return lookEvery
}

// Suspects reports whether the owner was missing in the newest look.
func (e *Election) Suspects() bool { return e.missed > 0 }

// contains reports whether a host is a member.
func contains(members []Member, host id.Host) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Host == host })
}
