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
	abilityOfCore = 1000
	// handOverPause is the time between a hand-over and the next look.
	handOverPause = 50 * time.Millisecond
)

// host is one entry host.
type host struct {
	Host
	world    *World
	election *election.Election
	// life counts its starts; what an earlier life has planned doesn't happen.
	life int
	up   bool
	// heard is until when the store lists it, though it is down.
	heard unit.Instant
	// claiming is set while a claim is under way.
	claiming bool
	// lost is the epoch under which the host was the owner and isn't any more; 0 for none. If
	// the store still names it, nobody else claims, because the host lives.
	lost id.Epoch
}

// addHost adds a host, which is up.
func (w *World) addHost(i int, x Host) {
	h := &host{Host: x, world: w}
	w.hosts = append(w.hosts, h)
	h.begin(time.Duration(i) * w.setup.Times.Look / time.Duration(len(w.setup.Hosts)))
}

// begin starts a life of the host.
func (h *host) begin(after time.Duration) {
	h.life++
	h.up, h.claiming = true, false
	h.election = election.New(h.member())
	if o := h.world.table.Owner(); o.Host == h.ID {
		h.lost = o.Epoch
	}
	life := h.life
	if len(h.world.setup.Hosts) > 1 {
		h.world.Plan(after, func() { h.look(life) })
	}
}

// member is the host as the group shows it.
func (h *host) member() election.Member {
	return election.Member{Host: h.ID, Ability: int(abilityOfCore * h.Cores)}
}

// group returns the members that the store lists.
func (w *World) group() []election.Member {
	var out []election.Member
	for _, h := range w.hosts {
		if h.up || w.now < h.heard {
			out = append(out, h.member())
		}
	}
	return out
}

// look looks at the group, claims or hands over if that is due, and plans the next look.
func (h *host) look(life int) {
	w := h.world
	if h.life != life || !h.up {
		return
	}
	w.Plan(w.setup.Times.Look, func() { h.look(life) })
	if w.now < w.store.up {
		return // the store doesn't answer
	}
	h.election.Look(w.now, w.group(), w.table.Owner().Host)
	if w.owner != nil && w.owner.host == h {
		if h.election.Yields(w.now) {
			h.yield()
		}
		return
	}
	h.mayClaim(life)
}

// due reports whether the host is to claim.
func (h *host) due() bool {
	vacant := h.lost != 0 && h.world.table.Owner().Epoch == h.lost
	return vacant || h.election.Claim(h.world.now)
}

// mayClaim claims if it is the host's turn, and asks again shortly while the owner is missed.
func (h *host) mayClaim(life int) {
	w := h.world
	if h.life != life || !h.up || h.claiming || w.owner != nil && w.owner.host == h {
		return
	}
	if !h.due() {
		if h.election.Suspects() {
			w.Plan(handOverPause, func() { h.mayClaim(life) })
		}
		return
	}
	h.claiming = true
	epoch := w.epoch + 1
	w.epoch = epoch
	r, err := w.table.OwnerRecord(jobtable.Owner{Host: h.ID, Epoch: epoch})
	if err != nil {
		w.violated("a claim has no record: " + err.Error())
		return
	}
	w.store.append(jobsLog, epoch, []jobtable.Record{r}, func(bool) { h.claimed(life, epoch) })
}

// claimed takes in that a host's claim is in the store: all hosts read it, and it fences earlier owners in the progress log.
func (h *host) claimed(life int, epoch id.Epoch) {
	w := h.world
	for _, o := range w.hosts {
		o.election.Claimed(w.now)
	}
	if !h.claims(life, epoch) {
		h.claiming = false
		return
	}
	w.store.append(progressLog, epoch, nil, func(taken bool) {
		h.claiming = false
		if !taken || !h.claims(life, epoch) {
			return
		}
		w.tally.Claims++
		w.takeOver(h, epoch)
	})
}

// claims reports whether a life of the host has made the newest claim.
func (h *host) claims(life int, epoch id.Epoch) bool {
	return h.life == life && h.up && h.world.table.Owner().Epoch == epoch
}

// yield gives the ownership back, so that an abler host claims.
func (h *host) yield() {
	w := h.world
	w.owner.end()
	h.lost = 0
	epoch := w.epoch + 1
	w.epoch = epoch
	r, err := w.table.OwnerRecord(jobtable.Owner{Epoch: epoch})
	if err != nil {
		w.violated("a hand-over has no record: " + err.Error())
		return
	}
	w.store.append(jobsLog, epoch, []jobtable.Record{r}, func(bool) {
		for _, o := range w.hosts {
			o.election.Released(w.now)
			life := o.life
			w.Plan(handOverPause, func() { o.mayClaim(life) })
		}
	})
}

// kill ends a host's processes; they are back after some time, or never if that is 0.
func (h *host) kill(down time.Duration) {
	w := h.world
	if !h.up {
		return
	}
	h.life++
	h.up, h.heard = false, w.now.Add(w.setup.Times.MemberTTL)
	if w.owner != nil && w.owner.host == h {
		w.owner.end()
	}
	if down > 0 {
		w.Plan(down, func() { h.begin(0) })
	}
}
