package world

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// ErrFault reports a fault of an unknown kind.
var ErrFault = errors.New("world: no such fault")

// FaultKind says what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	// Kill ends workers at once; they are back as another life after Lasts.
	Kill FaultKind = "kill"
	// Reborn is Kill with workers that are back under the names that they had; for a Setup with TellStart.
	Reborn FaultKind = "reborn"
	// Silence cuts workers off; what runs there goes on until its lease ends.
	Silence FaultKind = "silence"
	// Drain announces that workers leave after Lasts; they are back as long after that again.
	Drain FaultKind = "drain"
	// Apart cuts workers off from the hosts, which can't connect, and from the list, which drops them after a
	// while; what runs there goes on until its lease ends.
	Apart FaultKind = "apart"
	// StaleEntry lets the list show the life before the present one of workers again, for as long as an
	// entry stands.
	StaleEntry FaultKind = "stale-entry"
	// ReadList lets the owner read the whole list again, in the order of names backwards.
	ReadList FaultKind = "read-list"
	// Fail lets all fail that workers start.
	Fail FaultKind = "fail"
	// Busy lets workers refuse all orders to start.
	Busy FaultKind = "busy"
	// Mute lets workers neither take nor answer orders to start, while they answer all others.
	Mute FaultKind = "mute"
	// Shrink makes workers smaller by Factor, and tells it in the list; they are as large as before after Lasts.
	Shrink FaultKind = "shrink"
	// Slow makes what workers begin slower by Factor.
	Slow FaultKind = "slow"
	// Still lets what runs on workers make no progress, while they answer all orders.
	Still FaultKind = "still"
	// Evacuate evacuates failure domains, at least one, until Lasts is over or they are evacuated anew; for a Setup with Evacuation.
	Evacuate FaultKind = "evacuate"
	// Late lets a part of the orders get no answer; each is carried out Factor seconds later.
	Late FaultKind = "late"
	// StoreDown takes the store away.
	StoreDown FaultKind = "store-down"
	// StoreSlow makes appends slower by Factor.
	StoreSlow FaultKind = "store-slow"
	// KillOwner ends the owner's host, KillHosts a part of all; they are back after Lasts.
	KillOwner FaultKind = "kill-owner"
	KillHosts FaultKind = "kill-hosts"
)

// FaultKinds returns all kinds.
func FaultKinds() []FaultKind {
	return []FaultKind{
		Kill, Reborn, Silence, Drain, Apart, StaleEntry, ReadList, Fail, Busy, Mute, Shrink, Slow, Still, Evacuate, Late,
		StoreDown, StoreSlow, KillOwner, KillHosts,
	}
}

// latestOrder is how late an order is at most that was meant for the life before, by the platform's pages. Nothing but time keeps the next life
// under a name from taking it.
const maxOrderDelay = 12 * time.Second

// Fault is something that goes wrong.
type Fault struct {
	Kind FaultKind
	// Share is the part of the workers, hosts or orders that it concerns, from 0 to 1.
	Share float64
	Lasts time.Duration
	// Factor is for Slow, Late and StoreSlow.
	Factor float64
}

// lateOrders says which orders are late.
type lateOrders struct {
	until   unit.Instant
	share   float64
	delayBy time.Duration
	// sent numbers the orders.
	sent int
	// carrying is set while a late order is carried out.
	carrying bool
}

// delay returns by how much an order is late; 0 if it isn't.
func (l *lateOrders) delay(w *World, t dispatch.Target) time.Duration {
	if w.now >= l.until {
		return 0
	}
	l.sent++
	if w.draw("late", t.Worker, l.sent) >= l.share {
		return 0
	}
	return l.delayBy
}

// Strike lets a fault begin now.
func (w *World) Strike(f Fault) error {
	until := w.now.Add(f.Lasts)
	switch f.Kind {
	case Kill:
		w.eachChosen(f, func(m *machine) { m.endIncarnation(f.Lasts, newID) })
	case Reborn:
		if !w.setup.TellStart {
			return fmt.Errorf("%w: %q of workers that don't tell their starts", ErrFault, f.Kind)
		}
		w.eachChosen(f, func(m *machine) { m.endIncarnation(f.Lasts, sameID) })
	case Silence:
		w.eachChosen(f, func(m *machine) { m.silentUntil = until })
	case Drain:
		w.eachChosen(f, func(m *machine) { m.drain(f.Lasts, f.Lasts) })
	case Apart:
		w.eachChosen(f, func(m *machine) { m.partition(f.Lasts) })
	case StaleEntry:
		w.eachChosen(f, func(m *machine) { m.showPreviousListing() })
	case ReadList:
		w.readList()
	case Fail:
		w.eachChosen(f, func(m *machine) { m.failsUntil = until })
	case Busy:
		w.eachChosen(f, func(m *machine) { m.busyUntil = until })
	case Mute:
		w.eachChosen(f, func(m *machine) { m.muteUntil = until })
	case Shrink:
		w.eachChosen(f, func(m *machine) { m.shrink(f.Lasts, max(1, f.Factor)) })
	case Slow:
		w.eachChosen(f, func(m *machine) { m.slowUntil, m.slowBy = until, max(1, f.Factor) })
	case Still:
		w.eachChosen(f, func(m *machine) { m.stalls = append(m.stalls, interval{from: w.now, to: until}) })
	case Evacuate:
		if w.setup.Evacuation == 0 {
			return fmt.Errorf("%w: %q where no operator evacuates", ErrFault, f.Kind)
		}
		w.evacuate(f)
	case Late:
		w.lateOrders = lateOrders{until: until, share: f.Share, delayBy: scale(time.Second, f.Factor)}
		if w.setup.TellStart {
			w.lateOrders.delayBy = min(w.lateOrders.delayBy, maxOrderDelay)
		}
	case StoreDown:
		w.store.upAt = max(w.store.upAt, until)
	case StoreSlow:
		w.store.slowdown = max(1, f.Factor)
		w.Plan(f.Lasts, func() { w.store.slowdown = 1 })
	case KillOwner:
		if w.owner != nil {
			w.owner.host.kill(f.Lasts)
		}
	case KillHosts:
		for _, i := range w.chosen(f, len(w.hosts)) {
			w.hosts[i].kill(f.Lasts)
		}
	default:
		return fmt.Errorf("%w: %q", ErrFault, f.Kind)
	}
	return nil
}

// Down ends a worker's life, Up begins another one. They do nothing for a worker that is so
// already, or isn't there.
func (w *World) Down(name id.Worker) {
	if m := w.machineByID(name); m != nil {
		m.endIncarnation(0, newID)
	}
}

// Up is described with Down.
func (w *World) Up(name id.Worker) {
	if m := w.machineByID(name); m != nil && !m.up {
		m.startIncarnation(newID)
		w.list(m.listing())
	}
}

// machineOf returns a worker of the setup, or nil.
func (w *World) machineByID(name id.Worker) *machine {
	for _, m := range w.machines {
		if m.ID == name {
			return m
		}
	}
	return nil
}

// each does something to the workers that a fault concerns.
func (w *World) eachChosen(f Fault, do func(*machine)) {
	for _, i := range w.chosen(f, len(w.machines)) {
		do(w.machines[i])
	}
}

// chosen returns which of n a fault concerns, in order; they depend on the seed, the kind and the
// time alone.
func (w *World) chosen(f Fault, n int) []int {
	some := min(n, int(math.Round(f.Share*float64(n))))
	stream := uint64(w.draw("fault", f.Kind, w.now) * math.MaxUint32)
	out := rand.New(rand.NewPCG(w.setup.Seed, stream)).Perm(n)[:some]
	slices.Sort(out)
	return out
}
