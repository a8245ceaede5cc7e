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

// ErrFault reports a fault of an unknown kind, or one that the setup doesn't
// support.
var ErrFault = errors.New("world: unknown or unsupported fault")

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// Kill ends workers at once. They come back as new incarnations after
	// Duration.
	Kill FaultKind = "kill"
	// Reborn is Kill with workers that come back under the names that they had.
	// It requires Setup.ReportStart.
	Reborn FaultKind = "reborn"
	// Silence makes workers neither receive nor answer orders, while the list
	// still shows them. What runs there continues until its lease ends.
	Silence FaultKind = "silence"
	// Drain announces that workers leave after Duration. They come back after
	// Duration once more.
	Drain FaultKind = "drain"
	// Apart partitions workers from the hosts, which can't connect, and from
	// the list of workers, which drops them after Times.MemberTTL. What runs
	// there continues until its lease ends.
	Apart FaultKind = "apart"
	// StaleEntry makes the list of workers show the previous incarnation of
	// workers again, until that entry expires after Times.MemberTTL.
	StaleEntry FaultKind = "stale-entry"
	// ReadList makes the owner read the whole list again, in descending order
	// of the workers' ids.
	ReadList FaultKind = "read-list"
	// Fail makes all runs fail that workers start.
	Fail FaultKind = "fail"
	// Busy makes workers refuse all start orders.
	Busy FaultKind = "busy"
	// Mute makes workers neither execute nor answer start orders, while they
	// answer all other orders.
	Mute FaultKind = "mute"
	// Shrink divides the capacity of workers by Factor, which the list shows.
	// They have their full capacity again after Duration.
	Shrink FaultKind = "shrink"
	// Slow divides the speed of the runs that workers start by Factor.
	Slow FaultKind = "slow"
	// Slowdown divides the speed of workers by Factor, Speedup multiplies it,
	// for runs in progress, too.
	Slowdown FaultKind = "slowdown"
	Speedup  FaultKind = "speedup"
	// ProgressZero makes workers report a progress of 0 for all runs,
	// ProgressFalling one that falls from 100 to 0, and ProgressExcess one above
	// 100. ProgressGaps leaves the progress out of half of the reports, which
	// hosts read as 0.
	ProgressZero    FaultKind = "progress-zero"
	ProgressFalling FaultKind = "progress-falling"
	ProgressExcess  FaultKind = "progress-excess"
	ProgressGaps    FaultKind = "progress-gaps"
	// Still stalls the runs on workers, while the workers answer all orders.
	Still FaultKind = "still"
	// Evacuate evacuates failure domains, at least one, until Duration has
	// passed; a later fault extends it. It requires Setup.EvacuationBound.
	Evacuate FaultKind = "evacuate"
	// Late leaves a share of the orders unanswered. Each of them is executed
	// Factor seconds later. With Setup.ReportStart, the delay is at most
	// maxOrderDelay.
	Late FaultKind = "late"
	// StoreDown makes the store unavailable.
	StoreDown FaultKind = "store-down"
	// Outage is StoreDown, and nothing is written to the list of workers
	// meanwhile. Its entries lapse, and live workers write theirs again soon after
	// the store's return.
	Outage FaultKind = "outage"
	// StoreSlow makes appends take Factor times as long.
	StoreSlow FaultKind = "store-slow"
	// KillOwner ends the owner's host, KillHosts a share of all hosts. They
	// come back after Duration.
	KillOwner FaultKind = "kill-owner"
	KillHosts FaultKind = "kill-hosts"
)

// FaultKinds returns all kinds.
func FaultKinds() []FaultKind {
	return []FaultKind{
		Kill, Reborn, Silence, Drain, Apart, StaleEntry, ReadList, Fail, Busy, Mute, Shrink, Slow, Still, Evacuate, Late,
		StoreDown, StoreSlow, KillOwner, KillHosts, Slowdown, Speedup, ProgressZero, ProgressFalling, ProgressExcess, ProgressGaps, Outage,
	}
}

// maxOrderDelay is the longest delay, by the platform's specification, of an
// order for the previous incarnation. Only this bound keeps the next
// incarnation of the same name from executing such an order later.
const maxOrderDelay = 12 * time.Second

// Fault is a fault to inject.
type Fault struct {
	Kind FaultKind
	// Share is the share of the workers, hosts, domains or orders that the
	// fault affects, from 0 to 1.
	Share    float64
	Duration time.Duration
	// Factor is the delay in seconds for Late. For Shrink, Slow, Slowdown,
	// Speedup and StoreSlow it is a divisor or a multiplier, and a value below 1
	// counts as 1.
	Factor float64
}

// lateOrders determines which orders are late.
type lateOrders struct {
	until   unit.Instant
	share   float64
	delayBy time.Duration
	// sent counts the orders while orders may be late.
	sent int
	// executing is set while a late order is executed.
	executing bool
}

// delay returns the delay of an order, or 0 for one that isn't late.
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

// Inject injects a fault now.
func (w *World) Inject(f Fault) error {
	until := w.now.Add(f.Duration)
	switch f.Kind {
	case Kill:
		w.eachChosen(f, func(m *machine) { m.endIncarnation(f.Duration, newID) })
	case Reborn:
		if !w.setup.ReportStart {
			return fmt.Errorf("%w: %q requires workers that report their start (Setup.ReportStart)", ErrFault, f.Kind)
		}
		w.eachChosen(f, func(m *machine) { m.endIncarnation(f.Duration, sameID) })
	case Silence:
		w.eachChosen(f, func(m *machine) { m.silentUntil = until })
	case Drain:
		w.eachChosen(f, func(m *machine) { m.drain(f.Duration, f.Duration) })
	case Apart:
		w.eachChosen(f, func(m *machine) { m.partition(f.Duration) })
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
		w.eachChosen(f, func(m *machine) { m.shrink(f.Duration, max(1, f.Factor)) })
	case Slow:
		w.eachChosen(f, func(m *machine) { m.slowUntil, m.slowBy = until, max(1, f.Factor) })
	case Still:
		w.eachChosen(f, func(m *machine) { m.changeSpeed(f.Duration, 0) })
	case Slowdown:
		w.eachChosen(f, func(m *machine) { m.changeSpeed(f.Duration, 1/max(1, f.Factor)) })
	case Speedup:
		w.eachChosen(f, func(m *machine) { m.changeSpeed(f.Duration, max(1, f.Factor)) })
	case ProgressZero, ProgressFalling, ProgressExcess, ProgressGaps:
		w.eachChosen(f, func(m *machine) { m.progressFault, m.progressFaultUntil = f.Kind, until })
	case Evacuate:
		if w.setup.EvacuationBound == 0 {
			return fmt.Errorf("%w: %q requires a bound for evacuations (Setup.EvacuationBound)", ErrFault, f.Kind)
		}
		w.evacuate(f)
	case Late:
		w.lateOrders = lateOrders{until: until, share: f.Share, delayBy: scale(time.Second, f.Factor)}
		if w.setup.ReportStart {
			w.lateOrders.delayBy = min(w.lateOrders.delayBy, maxOrderDelay)
		}
	case StoreDown:
		w.store.upAt = max(w.store.upAt, until)
	case Outage:
		w.beginOutage(f.Duration)
	case StoreSlow:
		w.store.slowdown, w.store.slowUntil = max(1, f.Factor), max(w.store.slowUntil, until)
		w.Schedule(f.Duration, func() { w.store.slowdown = 1 })
	case KillOwner:
		if w.owner != nil {
			w.owner.host.kill(f.Duration)
		}
	case KillHosts:
		for _, i := range w.chosen(f, len(w.hosts)) {
			w.hosts[i].kill(f.Duration)
		}
	default:
		return fmt.Errorf("%w: %q", ErrFault, f.Kind)
	}
	return nil
}

// StopWorker ends a worker's incarnation. The worker is down until StartWorker.
// StopWorker does nothing for a worker that is down or unknown.
func (w *World) StopWorker(workerID id.Worker) {
	if m := w.machineByID(workerID); m != nil {
		m.endIncarnation(0, newID)
	}
}

// StartWorker starts a new incarnation of a worker. It does nothing for a worker
// that is up or unknown.
func (w *World) StartWorker(workerID id.Worker) {
	if m := w.machineByID(workerID); m != nil && !m.up {
		m.startIncarnation(newID)
		w.list(m.listing())
	}
}

// machineByID returns a worker of the setup, or nil.
func (w *World) machineByID(workerID id.Worker) *machine {
	for _, m := range w.machines {
		if m.ID == workerID {
			return m
		}
	}
	return nil
}

// eachChosen applies a function to the workers that a fault affects.
func (w *World) eachChosen(f Fault, apply func(*machine)) {
	for _, i := range w.chosen(f, len(w.machines)) {
		apply(w.machines[i])
	}
}

// chosen returns the indexes of the elements, out of n, that a fault affects,
// in ascending order. The choice depends only on the seed, the kind and the
// time of the fault.
func (w *World) chosen(f Fault, n int) []int {
	count := min(n, int(math.Round(f.Share*float64(n))))
	stream := uint64(w.draw("fault", f.Kind, w.now) * math.MaxUint32)
	out := rand.New(rand.NewPCG(w.setup.Seed, stream)).Perm(n)[:count]
	slices.Sort(out)
	return out
}
