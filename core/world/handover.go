package world

import (
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/handover"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// tellInterval is the interval at which an owner that can't write tells the
	// other hosts which ends it has read.
	tellInterval = 200 * time.Millisecond
	// tellDelay is the longest time until another host has a message.
	tellDelay = 400 * time.Millisecond
	// rejoinWithin is the time after an outage within which live hosts are back in
	// the group.
	rejoinWithin = 1400 * time.Millisecond
	// ownerStillShare is the share of the outages at whose end the owner's host stands
	// still, for up to maxOwnerStill.
	ownerStillShare = 0.5
	maxOwnerStill   = 4 * time.Second
)

// told is the newest message of an owner that a host has, and when it arrived.
type told struct {
	handover.Message
	at unit.Instant
}

// tellAll sends a message to all hosts that are up.
func (w *World) tellAll(m handover.Message) {
	if m.Empty() {
		return
	}
	for _, h := range w.hosts {
		incarnation := h.incarnation
		w.Schedule(scale(tellDelay, w.draw("tell", h.ID, w.now)), func() {
			if h.up && h.incarnation == incarnation {
				h.accept(m)
			}
		})
	}
}

// accept keeps a message, and uses it if the host is the owner.
func (h *host) accept(m handover.Message) {
	if m.Epoch < h.told.Epoch || m.Epoch == h.told.Epoch && h.told.Final && !m.Final {
		return
	}
	h.told = told{Message: m, at: h.world.now}
	if o := h.world.owner; o != nil && o.host == h {
		o.enqueueEvent(func(o *owner) { o.useTold() })
	}
}

// useTold passes what an earlier owner has told to the dispatcher.
func (o *owner) useTold() {
	t := o.host.told
	if t.Empty() {
		return
	}
	o.dispatcher.InheritHandover(o.world.now, t.at, t.Message, t.Epoch == o.world.table.FormerEpoch())
	o.host.told.Workers = nil
}

// tellEndsUntil makes the owner tell repeatedly which ends it has read, until a time.
func (w *World) tellEndsUntil(until unit.Instant) {
	if w.now > until {
		return
	}
	if w.owner != nil && w.owner.writing {
		w.tellAll(w.owner.dispatcher.UnstoredEnds())
	}
	w.Schedule(tellInterval, func() { w.tellEndsUntil(until) })
}

// tellNextOwner sends what an owner knows when its ownership has ended, as soon as its
// host doesn't stand still.
func (o *owner) tellNextOwner() {
	h, incarnation := o.host, o.host.incarnation
	o.world.agenda.Add(max(o.world.now, h.stillUntil), func() {
		if h.up && h.incarnation == incarnation {
			o.world.tellAll(o.dispatcher.Handover(o.world.now))
		}
	})
}

// lapseMemberships drops all hosts from the group. Those that are up join it again
// soon, unless they stand still.
func (w *World) lapseMemberships() {
	if w.owner != nil && w.draw("still", w.now) < ownerStillShare {
		w.owner.host.stillUntil = w.now.Add(scale(maxOwnerStill, w.draw("still-for", w.now)))
	}
	for _, h := range w.hosts {
		h.lapsedUntil = max(h.stillUntil, w.now.Add(scale(rejoinWithin, w.draw("rejoin", h.ID, w.now))))
		h.listedUntil = 0
	}
}

// probeOwner records the answer of a live owner to a probe of the host.
func (h *host) probeOwner() {
	if o := h.world.owner; o != nil && o.host.up && h.world.now >= o.host.stillUntil {
		h.election.ProbeAnswered(h.world.now, o.host.ID)
	}
}

// readMachines makes the owner read the list of machines if it needs that. The list
// has the workers that are up, also those that are cut off.
func (w *World) readMachines() {
	if w.owner == nil || !w.owner.dispatcher.NeedsMachineList() {
		return
	}
	read := dispatch.MachinesRead{AsOf: w.now}
	for _, m := range w.machines {
		if m.up {
			read.Incarnations = append(read.Incarnations, dispatch.Incarnation{Machine: m.listing().Machine, Worker: fleet.NameOf(m.currentID)})
		}
	}
	o := w.owner
	w.Schedule(w.setup.Times.ListingDelay, func() {
		o.enqueueEvent(func(o *owner) { o.dispatcher.NoteMachines(w.now, read) })
	})
}
