package election

import (
	"cmp"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// watchers is the number of the highest-ranked hosts that send liveness probes
	// to the owner, so that a failure without a closed connection is noticed
	// before the store removes the owner from the group. The owner usually is one
	// of them. Of the other four, three are a majority, so two sets of hosts that
	// are partitioned from each other can't take ownership from each other in turn.
	watchers = 5
	// missAfter is the minimum time without an answer to a probe after which a
	// host reports the owner as unresponsive. It is the time of two probes,
	// which are sent every 120 ms, plus some time for the answer to the second
	// one.
	missAfter = 250 * time.Millisecond
	// minUnanswered is the number of consecutive probes that must be unanswered
	// in addition to missAfter; this takes 0.8 s in all. The first probe may
	// have been sent on a connection that broke without a reset; the following
	// ones use new connections. If two probes were enough, an owner that has
	// only a fraction of a core and is busy for some tenths of a second would
	// lose ownership repeatedly.
	minUnanswered = 4
	// confirmAfter takes the place of missAfter when another watcher asks this
	// one to confirm that the owner is unresponsive. It is shorter because this
	// watcher may have sent its probe a little later.
	confirmAfter = 150 * time.Millisecond
	// probesCountFrom is how long a host must have been the owner before
	// unanswered probes count. Before that, an owner counts as failed only if
	// the store removes it from the group. This prevents ownership from
	// changing in quick succession: workers count orders from two hosts within
	// 3 s as a fault.
	probesCountFrom = 3 * time.Second
)

// probeResults is what a host knows of the owner from its own liveness probes.
type probeResults struct {
	// owner is the host that the other fields describe. It has answered at least
	// once, most recently at answeredAt.
	owner      id.Host
	answeredAt unit.Instant
	// unanswered counts the unanswered probes since answeredAt.
	unanswered int
	// refused is set if the owner's address refused the connection, or if another
	// incarnation of the host answered there.
	refused bool
	// agreedAt is when a majority of the watchers first found the owner
	// unresponsive; 0 if there is no such majority.
	agreedAt unit.Instant
}

// unresponsive reports whether the owner is unresponsive to this host: its address
// has refused a probe (see probeResults.refused), or it has answered no probe
// for the given time.
func (p *probeResults) unresponsive(now unit.Instant, owner id.Host, after time.Duration) bool {
	if owner == "" || p.owner != owner {
		return false
	}
	return p.refused || p.unanswered >= minUnanswered && now.Sub(p.answeredAt) >= after
}

// answeredWithin reports whether the owner has answered a probe at most the given
// time ago, and its address hasn't refused one since.
func (p *probeResults) answeredWithin(now unit.Instant, d time.Duration) bool {
	return p.owner != "" && !p.refused && now.Sub(p.answeredAt) <= d
}

// Watchers returns the hosts that probe the owner: the highest-ranked hosts without
// the owner itself.
func (e *Election) Watchers(owner id.Host) []id.Host {
	return slices.DeleteFunc(e.highestRanked(watchers), func(h id.Host) bool { return h == owner })
}

// highestRanked returns the first n members in the order in which they would
// claim, or all if there are fewer.
func (e *Election) highestRanked(n int) []id.Host {
	ranked := slices.SortedFunc(slices.Values(e.members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Ability, a.Ability), rank.Compare(a.Host, b.Host, rankKey))
	})
	var out []id.Host
	for _, m := range ranked[:min(n, len(ranked))] {
		out = append(out, m.Host)
	}
	return out
}

// ProbeAnswered records that the owner has answered a probe.
func (e *Election) ProbeAnswered(now unit.Instant, owner id.Host) {
	e.probes = probeResults{owner: owner, answeredAt: now}
}

// ProbeTimedOut records that a probe of the owner timed out.
func (e *Election) ProbeTimedOut(owner id.Host) {
	if e.probes.owner == owner {
		e.probes.unanswered++
	}
}

// ProbeRefused records that the owner's address refused the connection, or that
// another incarnation of its host answered there.
func (e *Election) ProbeRefused(owner id.Host) {
	if e.probes.owner == owner {
		e.probes.refused = true
	}
}

// OwnerUnresponsive reports whether the owner is unresponsive to this host, in
// which case this host should ask the other watchers.
func (e *Election) OwnerUnresponsive(now unit.Instant, owner id.Host) bool {
	return e.probes.unresponsive(now, owner, missAfter)
}

// ConfirmUnresponsive reports, in answer to another watcher, whether the owner is
// unresponsive to this host as well.
func (e *Election) ConfirmUnresponsive(now unit.Instant, owner id.Host) bool {
	return e.probes.unresponsive(now, owner, confirmAfter)
}

// RecordAgreement records how many other watchers find the owner unresponsive
// as well. The owner is considered failed if it is unresponsive to a majority
// of the watchers, which must include this host and at least one other. A new
// owner can't be considered failed before probesCountFrom has passed.
// RecordAgreement reports true only the first time that it considers the owner
// failed.
func (e *Election) RecordAgreement(now unit.Instant, owner id.Host, others int) bool {
	if others == 0 || 2*(others+1) <= len(e.Watchers(owner)) || !e.OwnerUnresponsive(now, owner) {
		return false
	}
	if e.claimedAt != 0 && now.Sub(e.claimedAt) < probesCountFrom {
		return false
	}
	first := e.probes.agreedAt == 0
	if first {
		e.probes.agreedAt = now
	}
	return first
}

// claimsByProbes reports whether this host should claim because the owner is
// unresponsive to a majority of the watchers. The watchers claim one after the
// other, claimStagger apart.
func (e *Election) claimsByProbes(now unit.Instant) bool {
	if e.probes.agreedAt == 0 {
		return false
	}
	position := slices.Index(e.Watchers(e.probes.owner), e.self.Host)
	return position >= 0 && now.Sub(e.probes.agreedAt) >= time.Duration(position)*claimStagger
}
