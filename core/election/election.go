// Package election decides when a host claims ownership of scheduling, and when
// the owner hands ownership over to a host with a higher ability.
//
// The platform's store keeps the group of live hosts and removes a host that stops
// renewing its membership. The owner is the host that wrote the newest claim. A
// host claims when the owner is missing from several consecutive polls of the
// group, or when a majority of the highest-ranked hosts get no answer to their own
// liveness probes of the owner. Hosts claim one after the other: those with the
// highest ability first, and hosts of equal ability in the order of a rank that
// all hosts compute alike. The store rejects a claim whose epoch is lower than one
// it has already seen.
//
// A change of owner loses what only the owner knew, and delays the tasks of workers
// that have ended until the leases have expired that the owner may have granted. So
// a host doesn't claim while a live owner may be about to join the group again after
// an outage of the store, in which the memberships of all hosts expire.
package election

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// missesBeforeClaim is the number of consecutive polls of the group that
	// must lack the owner. A single poll may lack a live owner while the store
	// reassigns its partitions.
	missesBeforeClaim = 2
	// claimStagger is the delay between the claims of hosts with adjacent ranks.
	// A claim plus a poll takes about 50 ms.
	claimStagger = 250 * time.Millisecond
	// maxViewAge is the maximum age of the newest poll for a host to claim. The
	// highest-ranked hosts poll every 500 ms, so two polls may be lost.
	maxViewAge = 1500 * time.Millisecond
	// standbyHosts is the number of highest-ranked hosts that keep themselves
	// ready to claim at once. The owner usually is one of them, and another may
	// fail together with the owner.
	standbyHosts = 3
	// pollInterval is the pause between two polls of a high-ranked host, and
	// fastPollInterval that of any host while the owner is missing.
	pollInterval     = 500 * time.Millisecond
	fastPollInterval = 120 * time.Millisecond
	// slowPollInterval is the pause for hosts at position slowPollFrom or
	// later. Such a host claims only 2 s after the first poll without the
	// owner, when all hosts before it could have claimed, so it may poll less
	// often. With many hosts, polls are a large part of all calls to the store.
	slowPollInterval = 1200 * time.Millisecond
	slowPollFrom     = 8
	// newOwnerGrace is how long after a claim no host claims again, even if the
	// group lacks the new owner. The store shows a host in the group only once
	// it has assigned a partition to it. While many hosts join at once, it
	// reassigns the partitions repeatedly, so that without a grace period
	// owners would replace each other in quick succession. The grace period
	// delays no replacement of a failed owner, because the store keeps a failed
	// owner in the group for a second anyway.
	newOwnerGrace = time.Second
	// handoverFactor is the minimum ratio of another host's ability to the owner's
	// for a handover, and handoverAfter is how long that host must have been in
	// the group without interruption. No task is started for about 0.3 s during a
	// change of owner, and a host that joins and leaves repeatedly would cause
	// that each time.
	handoverFactor = 1.5
	handoverAfter  = 2 * time.Second
	// lapseAfter is the shortest pause between two polls in which the memberships of
	// all hosts may have expired: the store drops a host that hasn't renewed its
	// membership for a second.
	lapseAfter = time.Second
	// rejoinTime is how long after such a pause a live owner may take to appear in
	// the group again. A call that hangs since the outage delays it by a second.
	rejoinTime = 2 * time.Second
	// aliveFor is how long after its last answer to a probe an owner counts as
	// live in that time. Probes are sent every 120 ms and time out after 150 ms, so
	// one may be lost. It is shorter than the time until a host has polled the group
	// twice, so that an owner which dies at the end of an outage isn't replaced later.
	aliveFor = 350 * time.Millisecond
	// minTenure is the minimum time between a claim and a handover to a host of
	// higher ability, so that a host that is in the group but can't claim doesn't
	// make ownership alternate.
	minTenure = 5 * time.Second
)

// Member is one host of the group.
type Member struct {
	Host id.Host
	// Ability is the number of tasks per second that the host can start as the
	// owner; 0 if unknown.
	Ability int
}

// Election is one host's view of the group and of the owner. The zero value isn't
// usable; call New.
type Election struct {
	self Member
	// members is the result of the newest poll of the group, made at polledAt.
	members  []Member
	polledAt unit.Instant
	// resumedAt is the time of the first poll after the latest pause between polls
	// of lapseAfter or longer.
	resumedAt unit.Instant
	// misses counts the consecutive polls without the owner; missingSince is the
	// time of the first of them.
	misses       int
	missingSince unit.Instant
	// claimedAt is when the newest claim was seen; 0 if there was none, or if the
	// owner has released ownership since.
	claimedAt unit.Instant
	// candidateSince is the time of the first of the consecutive polls that show a
	// host with at least handoverFactor times this host's ability; 0 if the newest
	// poll shows none.
	candidateSince unit.Instant
	// ownedAt is when this host last became the owner; 0 if it never did.
	ownedAt unit.Instant
	// probes holds the results of this host's own liveness probes of the owner.
	probes probeResults
}

// rankKey is the hash key by which hosts of equal ability are ranked.
const rankKey = "owner"

// New returns the election of a host.
func New(self Member) *Election { return &Election{self: self} }

// ObserveGroup records a poll of the group. The owner is the host that wrote the
// newest claim, or empty if there is none.
func (e *Election) ObserveGroup(now unit.Instant, members []Member, owner id.Host) {
	e.observeMembers(now, members)
	if owner != "" && contains(members, owner) {
		e.misses = 0
		return
	}
	if e.misses == 0 {
		e.missingSince = now
	}
	e.misses++
}

// ObserveMembers records a poll of the group that doesn't show whether the owner
// is missing: the group lacks room for all hosts, or this host doesn't know the
// owner.
func (e *Election) ObserveMembers(now unit.Instant, members []Member) {
	e.observeMembers(now, members)
	e.misses = 0
}

// observeMembers records the members that a poll has returned.
func (e *Election) observeMembers(now unit.Instant, members []Member) {
	pause := now.Sub(e.polledAt)
	if pause > maxViewAge {
		e.probes.agreedAt = 0 // this host may have been partitioned itself
	}
	if pause >= lapseAfter {
		e.resumedAt = now
	}
	e.members, e.polledAt = members, now
	e.trackCandidate(now)
}

// LearnOwner records the owner when this host first learns of it. Earlier polls
// count as misses because no owner was known; if the newest poll shows the owner,
// those misses are reset.
func (e *Election) LearnOwner(owner id.Host) {
	if contains(e.members, owner) {
		e.misses = 0
	}
}

// trackCandidate updates candidateSince after a poll.
func (e *Election) trackCandidate(now unit.Instant) {
	found := slices.ContainsFunc(e.members, func(m Member) bool {
		return float64(m.Ability) >= handoverFactor*float64(e.self.Ability) && m.Ability > 0
	})
	switch {
	case !found:
		e.candidateSince = 0
	case e.candidateSince == 0:
		e.candidateSince = now
	}
}

// ObserveClaim records that some host has claimed. The claimant counts as live
// until polls miss it; otherwise every host whose polls lacked the former owner
// would claim as well.
func (e *Election) ObserveClaim(now unit.Instant) {
	e.misses, e.missingSince, e.claimedAt = 0, now, now
	e.probes = probeResults{}
}

// BecomeOwner records that this host has become the owner.
func (e *Election) BecomeOwner(now unit.Instant) { e.ownedAt = now }

// ShouldHandOver reports whether this host, as the owner, should hand ownership
// over to a host of higher ability.
func (e *Election) ShouldHandOver(now unit.Instant) bool {
	return e.candidateSince != 0 && now.Sub(e.candidateSince) >= handoverAfter && now.Sub(e.ownedAt) >= minTenure && now.Sub(e.polledAt) <= maxViewAge
}

// ObserveRelease records that the owner has released ownership. The owner then
// counts as missing from enough polls for a claim, so that the hosts needn't
// wait for more polls.
func (e *Election) ObserveRelease(now unit.Instant) {
	e.claimedAt, e.probes = 0, probeResults{}
	if e.misses < missesBeforeClaim {
		e.misses, e.missingSince = missesBeforeClaim, now
	}
}

// ShouldClaim reports whether this host should claim now.
func (e *Election) ShouldClaim(now unit.Instant) bool {
	if now.Sub(e.polledAt) > maxViewAge || !contains(e.members, e.self.Host) {
		return false
	}
	if e.claimedAt != 0 && now.Sub(e.claimedAt) < newOwnerGrace {
		return false
	}
	if e.claimsByProbes(now) {
		return true
	}
	if e.ownerMayRejoin(now) {
		return false
	}
	return e.misses >= missesBeforeClaim && now.Sub(e.missingSince) >= time.Duration(e.Position())*claimStagger
}

// ownerMayRejoin reports whether the owner lives and has had too little time to join
// the group again since an outage.
func (e *Election) ownerMayRejoin(now unit.Instant) bool {
	return now.Sub(e.resumedAt) < rejoinTime && e.probes.answeredWithin(now, aliveFor)
}

// Position returns how many members claim before this host: all members of higher
// ability, and those of equal ability that rank before it.
func (e *Election) Position() int {
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

// Standby reports whether this host is among the first standbyHosts that would
// claim. It also reports true before the first poll of the group.
func (e *Election) Standby() bool { return len(e.members) == 0 || e.Position() < standbyHosts }

// First returns the member that would claim first. It reports false if there are
// no members.
func (e *Election) First() (id.Host, bool) {
	first := e.highestRanked(1)
	if len(first) == 0 {
		return "", false
	}
	return first[0], true
}

// PollInterval returns the pause until the next poll of the group. Every host
// polls fast while the owner is missing; otherwise hosts that would claim late
// poll slowly.
func (e *Election) PollInterval() time.Duration {
	switch {
	case e.OwnerMissing():
		return fastPollInterval
	case len(e.members) > 0 && e.Position() >= slowPollFrom:
		return slowPollInterval
	}
	return pollInterval
}

// OwnerMissing reports whether the newest poll of the group lacked the owner.
func (e *Election) OwnerMissing() bool { return e.misses > 0 }

// contains reports whether a host is a member.
func contains(members []Member, host id.Host) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Host == host })
}
