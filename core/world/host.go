package world

import (
	"time"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// abilityOfCore is how many tasks a second a host with a whole core counts for in the
	// election: only the order of hosts matters.
	abilityPerCore = 1000
	// handOverPause is the time between a hand-over and the next look.
	handoverDelay = 50 * time.Millisecond
)

// host is one entry host.
type host struct {
	Host
	world    *World
	election *election.Election
	// life counts its starts; what an earlier life has planned doesn't happen.
	incarnation int
	up          bool
	// heard is until when the store lists it, though it is down.
	listedUntil unit.Instant
	// claiming is set while a claim is under way.
	claiming bool
	// lost is the epoch under which the host was the owner and isn't any more; 0 for none. If
	// the store still names it, nobody else claims, because the host lives.
	lostEpoch id.Epoch
}

// addHost adds a host, which is up.
func (w *World) addHost(i int, x Host) {
	h := &host{Host: x, world: w}
	w.hosts = append(w.hosts, h)
	h.startIncarnation(time.Duration(i) * w.setup.Times.Look / time.Duration(len(w.setup.Hosts)))
}

// begin starts a life of the host.
func (h *host) startIncarnation(after time.Duration) {
	h.incarnation++
	h.up, h.claiming = true, false
	h.election = election.New(h.member())
	if o := h.world.table.Owner(); o.Host == h.ID {
		h.lostEpoch = o.Epoch
	}
	life := h.incarnation
	if len(h.world.setup.Hosts) > 1 {
		h.world.Plan(after, func() { h.checkGroup(life) })
	}
}

// member is the host as the group shows it.
func (h *host) member() election.Member {
	return election.Member{Host: h.ID, Ability: int(abilityPerCore * h.Cores)}
}

// group returns the members that the store lists.
func (w *World) group() []election.Member {
	var out []election.Member
	for _, h := range w.hosts {
		if h.up || w.now < h.listedUntil {
			out = append(out, h.member())
		}
	}
	return out
}

// look looks at the group, claims or hands over if that is due, and plans the next look.
func (h *host) checkGroup(life int) {
	w := h.world
	if h.incarnation != life || !h.up {
		return
	}
	w.Plan(w.setup.Times.Look, func() { h.checkGroup(life) })
	if w.now < w.store.upAt {
		return // the store doesn't answer
	}
	h.election.Look(w.now, w.group(), w.table.Owner().Host)
	if w.owner != nil && w.owner.host == h {
		if h.election.Yields(w.now) {
			h.handOver()
		}
		return
	}
	h.claimIfDue(life)
}

// due reports whether the host is to claim.
func (h *host) claimDue() bool {
	vacant := h.lostEpoch != 0 && h.world.table.Owner().Epoch == h.lostEpoch
	return vacant || h.election.Claim(h.world.now)
}

// mayClaim claims if it is the host's turn, and asks again shortly while the owner is missed.
func (h *host) claimIfDue(life int) {
	w := h.world
	if h.incarnation != life || !h.up || h.claiming || w.owner != nil && w.owner.host == h {
		return
	}
	if !h.claimDue() {
		if h.election.Suspects() {
			w.Plan(handoverDelay, func() { h.claimIfDue(life) })
		}
		return
	}
	h.claiming = true
	epoch := w.epoch + 1
	w.epoch = epoch
	r, err := w.table.OwnerRecord(jobtable.Owner{Host: h.ID, Epoch: epoch})
	if err != nil {
		w.recordViolation("a claim has no record: " + err.Error())
		return
	}
	w.store.append(jobsLog, epoch, []jobtable.Record{r}, func(bool) { h.claimStored(life, epoch) })
}

// claimed takes in that a host's claim is in the store: all hosts read it, and it fences earlier owners in the progress log.
func (h *host) claimStored(life int, epoch id.Epoch) {
	w := h.world
	for _, o := range w.hosts {
		o.election.Claimed(w.now)
	}
	if !h.hasNewestClaim(life, epoch) {
		h.claiming = false
		return
	}
	w.store.append(progressLog, epoch, nil, func(taken bool) {
		h.claiming = false
		if !taken || !h.hasNewestClaim(life, epoch) {
			return
		}
		w.tally.Claims++
		w.takeOver(h, epoch)
	})
}

// claims reports whether a life of the host has made the newest claim.
func (h *host) hasNewestClaim(life int, epoch id.Epoch) bool {
	return h.incarnation == life && h.up && h.world.table.Owner().Epoch == epoch
}

// yield gives the ownership back, so that an abler host claims.
func (h *host) handOver() {
	w := h.world
	w.owner.end()
	h.lostEpoch = 0
	epoch := w.epoch + 1
	w.epoch = epoch
	r, err := w.table.OwnerRecord(jobtable.Owner{Epoch: epoch})
	if err != nil {
		w.recordViolation("a hand-over has no record: " + err.Error())
		return
	}
	w.store.append(jobsLog, epoch, []jobtable.Record{r}, func(bool) {
		for _, o := range w.hosts {
			o.election.Released(w.now)
			life := o.incarnation
			w.Plan(handoverDelay, func() { o.claimIfDue(life) })
		}
	})
}

// kill ends a host's processes; they are back after some time, or never if that is 0.
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
		w.Plan(down, func() { h.startIncarnation(0) })
	}
}
