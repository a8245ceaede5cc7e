package world

import (
	"time"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// abilityPerCore is the ability, in tasks per second, that a host with one
	// whole core has in the election. Only the order of the hosts matters.
	abilityPerCore = 1000
	// handoverDelay is the time between a handover and the next check for a
	// claim.
	handoverDelay = 50 * time.Millisecond
)

// host is one simulated host.
type host struct {
	Host
	world    *World
	election *election.Election
	// incarnation counts the starts of the host. What an earlier incarnation
	// has scheduled has no effect.
	incarnation int
	up          bool
	// startedAt is when the present incarnation started.
	startedAt unit.Instant
	// listedUntil is the time until which the store still lists the host after
	// the host went down.
	listedUntil unit.Instant
	// lapsedUntil is until when the host, though up, isn't back in the group since
	// an outage.
	lapsedUntil unit.Instant
	// stillUntil is until when the host stands still.
	stillUntil unit.Instant
	// told is what the latest owner that has told something knows.
	told told
	// claiming is set while a claim is in flight.
	claiming bool
	// lostEpoch is the epoch of the ownership that this host has lost; 0 for
	// none. While the store still names that epoch, the ownership is vacant. No
	// other host claims it then, because this host is alive, so this host
	// claims it again.
	lostEpoch id.Epoch
}

// addHost adds a host, which is up.
func (w *World) addHost(i int, x Host) {
	h := &host{Host: x, world: w}
	w.hosts = append(w.hosts, h)
	h.startIncarnation(time.Duration(i) * w.setup.Times.GroupPoll / time.Duration(len(w.setup.Hosts)))
}

// startIncarnation starts an incarnation of the host.
func (h *host) startIncarnation(after time.Duration) {
	h.incarnation++
	h.up, h.claiming, h.startedAt = true, false, h.world.now
	h.lapsedUntil, h.stillUntil, h.told = 0, 0, told{}
	h.election = election.New(h.member())
	h.world.callers.follow(h)
	if o := h.world.table.Owner(); o.Host == h.ID {
		h.lostEpoch = o.Epoch
	}
	incarnation := h.incarnation
	if len(h.world.setup.Hosts) > 1 {
		h.world.Schedule(after, func() { h.checkGroup(incarnation) })
	}
}

// member returns the host as a member of the group.
func (h *host) member() election.Member {
	return election.Member{Host: h.ID, Ability: int(abilityPerCore * h.Cores)}
}

// group returns the members of the hosts' group as the store lists them: a host
// that is down stays listed until listedUntil, and one whose membership has lapsed is
// missing until lapsedUntil.
func (w *World) group() []election.Member {
	var out []election.Member
	for _, h := range w.hosts {
		if h.up && w.now >= h.lapsedUntil || w.now < h.listedUntil {
			out = append(out, h.member())
		}
	}
	return out
}

// checkGroup reads the group, claims or hands over the ownership if that is
// due, and schedules the next check.
func (h *host) checkGroup(incarnation int) {
	w := h.world
	if h.incarnation != incarnation || !h.up {
		return
	}
	w.Schedule(w.setup.Times.GroupPoll, func() { h.checkGroup(incarnation) })
	if w.now < w.store.upAt || w.now < h.stillUntil {
		return // the store is unavailable, or the host stands still
	}
	h.election.ObserveGroup(w.now, w.group(), w.table.Owner().Host)
	if w.owner != nil && w.owner.host == h {
		if h.election.ShouldHandOver(w.now) {
			h.handOver()
		}
		return
	}
	h.claimIfDue(incarnation)
}

// claimDue reports whether the host has to claim the ownership.
func (h *host) claimDue() bool {
	h.probeOwner()
	vacant := h.lostEpoch != 0 && h.world.table.Owner().Epoch == h.lostEpoch
	return vacant || h.election.ShouldClaim(h.world.now)
}

// claimIfDue claims the ownership if it is the host's turn. If it isn't and the
// owner is missing, claimIfDue schedules another check after handoverDelay.
func (h *host) claimIfDue(incarnation int) {
	w := h.world
	if h.incarnation != incarnation || !h.up || h.claiming || w.owner != nil && w.owner.host == h {
		return
	}
	if !h.claimDue() {
		if h.election.OwnerMissing() {
			w.Schedule(handoverDelay, func() { h.claimIfDue(incarnation) })
		}
		return
	}
	h.claiming = true
	epoch := w.epoch + 1
	w.epoch = epoch
	r, err := w.table.OwnerRecord(jobtable.Owner{Host: h.ID, Epoch: epoch})
	if err != nil {
		w.recordViolation("cannot encode the record of a claim: " + err.Error())
		return
	}
	w.store.append(jobsLog, epoch, []jobtable.Record{r}, func(bool) { h.claimStored(incarnation, epoch) })
}

// claimStored continues a claim that has been written to the store. All hosts
// read the claim. If it is still the newest one, claimStored appends to the
// progress log under the new epoch, which fences earlier owners there, and then
// makes the host the owner.
func (h *host) claimStored(incarnation int, epoch id.Epoch) {
	w := h.world
	for _, o := range w.hosts {
		o.election.ObserveClaim(w.now)
	}
	if !h.hasNewestClaim(incarnation, epoch) {
		h.claiming = false
		return
	}
	w.store.append(progressLog, epoch, nil, func(stored bool) {
		h.claiming = false
		if !stored || !h.hasNewestClaim(incarnation, epoch) {
			return
		}
		w.tally.Claims++
		w.takeOver(h, epoch)
	})
}

// hasNewestClaim reports whether an incarnation of the host is running and has
// made the newest claim.
func (h *host) hasNewestClaim(incarnation int, epoch id.Epoch) bool {
	return h.incarnation == incarnation && h.up && h.world.table.Owner().Epoch == epoch
}

// handOver releases the ownership, so that a host with more ability claims it.
// It clears lostEpoch, so that this host doesn't claim the ownership again
// before the release is in the store.
func (h *host) handOver() {
	w := h.world
	w.owner.end()
	h.lostEpoch = 0
	epoch := w.epoch + 1
	w.epoch = epoch
	r, err := w.table.OwnerRecord(jobtable.Owner{Epoch: epoch})
	if err != nil {
		w.recordViolation("cannot encode the record of a handover: " + err.Error())
		return
	}
	w.store.append(jobsLog, epoch, []jobtable.Record{r}, func(bool) {
		for _, o := range w.hosts {
			o.election.ObserveRelease(w.now)
			incarnation := o.incarnation
			w.Schedule(handoverDelay, func() { o.claimIfDue(incarnation) })
		}
	})
}

// kill ends a host's processes. They restart after the time down, or never if
// down is 0.
func (h *host) kill(down time.Duration) {
	w := h.world
	if !h.up {
		return
	}
	h.incarnation++
	h.up, h.listedUntil = false, w.now.Add(w.setup.Times.MemberTTL)
	if w.owner != nil && w.owner.host == h {
		w.owner.end()
	}
	if down > 0 {
		w.Schedule(down, func() { h.startIncarnation(0) })
	}
}
