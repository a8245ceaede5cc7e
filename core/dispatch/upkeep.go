package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/upkeep"
)

// upkeepRetry is the delay before an unanswered order to take a machine down is
// repeated. If the platform has already carried out the order, it gives the
// repetition the same answer and doesn't take the machine down again.
const upkeepRetry = time.Second

// unansweredFor is the time for which an unanswered order may be the reason
// that its machine is down: the order may be carried out up to 12 s late, and
// the machine is then down for 2 s.
const unansweredFor = 15 * time.Second

// wave is one wave of maintenance and its state in the store.
type wave struct {
	number id.Wave
	plan   *upkeep.Plan
	record jobtable.Wave
	// changed is set while the store's record is older than record.
	changed bool
	// finished is set once the operator was informed that the wave has
	// finished.
	finished bool
	// carriedAt holds, by machine, when the owner learned that the order to
	// take it down was carried out.
	carriedAt map[id.Machine]unit.Instant
	// retryAt holds, by machine, when an order that got no answer is due to
	// be repeated.
	retryAt map[id.Machine]unit.Instant
	// unansweredAt holds, by machine, when the newest order got no answer: it
	// may have been carried out, or may still be.
	unansweredAt map[id.Machine]unit.Instant
}

// SetWave adds a wave that the operator asks for. A wave that an earlier owner
// has begun continues from the store's record.
func (d *Dispatcher) SetWave(now, wall unit.Instant, w upkeep.Wave) {
	if d.waves[w.Number] != nil {
		return
	}
	x := &wave{number: w.Number, retryAt: map[id.Machine]unit.Instant{}, carriedAt: map[id.Machine]unit.Instant{}, unansweredAt: map[id.Machine]unit.Instant{}}
	rec, known := d.table.Wave(w.Number)
	if !known {
		rec.FirstSeen, x.changed = wall, true
	}
	x.record = jobtable.Wave{FirstSeen: rec.FirstSeen, Started: slices.Clone(rec.Started)}
	x.plan = upkeep.New(w, now.Add(-wall.Sub(rec.FirstSeen)), d.config.MaintenanceTime)
	for _, m := range rec.Started {
		x.plan.Exclude(m)
	}
	d.waves[w.Number] = x
	x.finished = x.plan.Finished()
	d.orders.Reports = append(d.orders.Reports, WaveReport{Wave: w.Number, Finished: x.finished})
	d.note(Note{Event: EventWaveSeen, Why: fmt.Sprintf("wave %d: %d machines, %d begun", w.Number, len(w.Machines), len(rec.Started)), Estimate: w.MaxDuration})
}

// advanceWaves advances the waves. A new owner first waits, since the previous
// one may have ordered a machine down a moment ago.
func (d *Dispatcher) advanceWaves(now unit.Instant) {
	if len(d.waves) == 0 {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(d.waves)) {
		if d.mayGrantLeases(now) && now.Sub(d.firstPassAt) >= d.config.HandoverDelay {
			d.advanceWave(now, d.waves[n])
		}
	}
	for _, w := range d.workersByID {
		w.awaitingUpkeep = d.heldForUpkeep(w.Machine)
	}
}

// heldForUpkeep reports whether a machine is to take no new tasks because of a
// wave.
func (d *Dispatcher) heldForUpkeep(m id.Machine) bool {
	for _, x := range d.waves {
		if x.plan.BlocksNewTasks(m) {
			return true
		}
	}
	return false
}

// advanceWave selects machines to empty, issues the orders to take empty
// machines down, and reports when the wave has finished.
func (d *Dispatcher) advanceWave(now unit.Instant, x *wave) {
	x.plan.CompleteOverdue(now)
	chosen := x.plan.StartEmptying(now, func(m id.Machine) (float64, bool) { return d.emptyingCost(now, m) })
	for _, m := range chosen {
		d.note(Note{Event: EventUpkeepBegins, Why: fmt.Sprintf("machine %s of wave %d is emptied", m, x.number)})
	}
	for _, m := range x.plan.Emptying() {
		d.emptyMachine(now, x, m)
	}
	for _, m := range slices.Sorted(maps.Keys(x.retryAt)) {
		if now >= x.retryAt[m] {
			delete(x.retryAt, m)
			d.orderDown(x, m)
		}
	}
	if x.plan.Finished() && !x.finished {
		x.finished = true
		d.orders.Reports = append(d.orders.Reports, WaveReport{Wave: x.number, Finished: true})
		d.note(Note{Event: EventWaveFinished, Why: fmt.Sprintf("wave %d", x.number), Age: d.wallTime.Sub(x.record.FirstSeen)})
	}
}

// emptyingCost returns the core-seconds of work that emptying a machine now
// would lose. It returns false if the machine isn't up, or if it runs tasks
// that may not be stopped now.
func (d *Dispatcher) emptyingCost(now unit.Instant, m id.Machine) (float64, bool) {
	w := d.incarnationOn(m)
	if w == nil || w.Draining {
		return 0, false
	}
	cost, runs := 0.0, withStep(w.sorted())
	for _, r := range runs {
		cost += d.lostByStopping(now, r)
	}
	return cost, mayStopAll(runs...)
}

// withStep removes the runs whose jobs are no longer known. It modifies the
// slice.
func withStep(runs []*run) []*run {
	return slices.DeleteFunc(runs, func(r *run) bool { return r.step == nil })
}

// emptyMachine issues the order to take a machine down if nothing runs there.
// It stops the machine's runs if emptying it has taken too long for the wave's
// deadline.
func (d *Dispatcher) emptyMachine(now unit.Instant, x *wave, m id.Machine) {
	w := d.incarnationOn(m)
	if w == nil {
		return // the next incarnation will be emptied
	}
	if len(w.runs) == 0 {
		if x.plan.MarkOrdered(now, m) {
			d.orderDown(x, m)
		}
		return
	}
	if !x.plan.EmptyingOverdue(now, m) {
		return
	}
	for _, r := range withStep(w.sorted()) {
		if r.state != runStopping && mayStopAll(r) {
			d.stopWithGang(now, r, "its machine goes down for maintenance")
		}
	}
}

// orderDown issues an order to take a machine down, for the first time or
// again.
func (d *Dispatcher) orderDown(x *wave, m id.Machine) {
	d.orders.Upkeeps = append(d.orders.Upkeeps, Upkeep{Machine: m, Wave: x.number, Epoch: d.epoch})
	d.note(Note{Event: EventUpkeepOrdered, Why: fmt.Sprintf("machine %s of wave %d", m, x.number)})
}

// UpkeepAnswered processes the result of an order to take a machine down.
func (d *Dispatcher) UpkeepAnswered(now unit.Instant, res UpkeepResult) {
	x := d.waves[res.Upkeep.Wave]
	if x == nil || res.Upkeep.Epoch != d.epoch {
		return
	}
	m := res.Upkeep.Machine
	d.note(Note{Event: EventUpkeepAnswered, Why: fmt.Sprintf("machine %s of wave %d: %s", m, x.number, res.Verdict)})
	switch res.Verdict {
	case fleet.CarriedOut:
		x.plan.MarkDown(now, m)
		x.record.Started = append(x.record.Started, m)
		x.changed = true
		x.carriedAt[m] = now
		d.unconfirmIncarnations(now, m)
	case fleet.Fenced:
		d.fenced = true
	case fleet.Stale, fleet.Invalid:
		x.plan.Exclude(m)
	case fleet.Busy, fleet.Unreachable:
		if at := x.unansweredAt[m]; at != 0 && now.Sub(at) < unansweredFor {
			x.retryAt[m] = now.Add(upkeepRetry) // the unanswered order may have taken it down, so it still counts as in maintenance
			return
		}
		x.plan.MarkRefused(now, m)
	case fleet.Unknown, fleet.LeaseExpired, fleet.NoRoom, fleet.NoTicket, fleet.Replaced:
		x.retryAt[m], x.unansweredAt[m] = now.Add(upkeepRetry), now
	}
}

// waveRecords returns the records of the waves that have changed.
func (d *Dispatcher) waveRecords() ([]jobtable.Record, error) {
	var out []jobtable.Record
	for _, n := range slices.Sorted(maps.Keys(d.waves)) {
		x := d.waves[n]
		if !x.changed {
			continue
		}
		x.changed = false
		r, err := d.table.WaveRecord(n, x.record)
		if err != nil {
			return nil, fmt.Errorf("dispatch: wave %d: %w", n, err)
		}
		out = append(out, r)
	}
	return out, nil
}
