// Package upkeep plans a maintenance wave: each machine of a set is taken down
// once, before a deadline, with a limit on the machines that are down at a time.
//
// A Plan decides which machines are emptied (drained of tasks) next and how long
// that may take. Its caller reports when a machine is empty, the result of an
// order to take it down, and when the machine is back.
package upkeep

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// state is the maintenance state of a machine, and event is what changes it.
// upkeep.chart has the transitions.
type (
	state string
	event string
)

const (
	waiting  state = "waiting"
	emptying state = "emptying"
	ordered  state = "ordered"
	down     state = "down"
	done     state = "done"

	evEmpty   event = "empty"
	evOrder   event = "order"
	evRefused event = "refused"
	evCarried event = "carried"
	evBack    event = "back"
	evDrop    event = "drop"
)

// machineChart has the transitions of a machine.
var machineChart = chart.MustParse[state, event]("upkeep.chart", charts.Read("upkeep"))

const (
	// retryDelay is the delay after a refused order to take a machine down.
	// Until it has passed, the machine isn't chosen for emptying and gets no
	// such order.
	retryDelay = time.Second
	// listingDelay is added to the downtime of a machine. It is the time until
	// the machine's new incarnation is seen in the platform's list, which is
	// written every 1.5 s and read with a delay.
	listingDelay = 5 * time.Second
)

// Wave is the maintenance that the operator requests.
type Wave struct {
	Number   id.Wave
	Machines []id.Machine
	// MaxDuration is the longest time for the wave, counted from when an owner first
	// read it.
	MaxDuration time.Duration
	// MaxDown is the largest number of machines that may be down at a time, at
	// least 1.
	MaxDown int
}

// Plan is the state of a wave. The zero value is not ready; call New.
type Plan struct {
	wave Wave
	// deadline is when all machines must have been taken down.
	deadline unit.Instant
	// downtime is how long a machine is down.
	downtime time.Duration
	machines map[id.Machine]*machine
}

// machine is one machine of the wave.
type machine struct {
	state state
	// since is when emptying started, or when the machine went down.
	since unit.Instant
	// retryAt is the earliest time for the next attempt after a refusal.
	retryAt unit.Instant
}

// New returns the plan of a wave that an owner first read at firstSeen. Each
// machine is down for about downtime.
func New(w Wave, firstSeen unit.Instant, downtime time.Duration) *Plan {
	p := &Plan{wave: w, deadline: firstSeen.Add(w.MaxDuration), downtime: downtime, machines: map[id.Machine]*machine{}}
	for _, m := range w.Machines {
		p.machines[m] = &machine{state: waiting}
	}
	return p
}

// apply applies an event to a machine. It reports whether the machine's state
// allows the event.
func (p *Plan) apply(m id.Machine, ev event) bool {
	x := p.machines[m]
	if x == nil {
		return false
	}
	to, err := machineChart.Next(x.state, ev)
	if err != nil {
		return false
	}
	x.state = to
	return true
}

// Finished reports whether every machine that was not excluded had its
// maintenance.
func (p *Plan) Finished() bool { return p.count(done) == len(p.machines) }

// Emptying returns the machines that are being emptied, in the wave's order.
func (p *Plan) Emptying() []id.Machine { return p.inState(emptying) }

// Unfinished returns the machines whose maintenance is not completed yet.
func (p *Plan) Unfinished() []id.Machine {
	return slices.Concat(p.inState(waiting), p.inState(emptying), p.inState(ordered), p.inState(down))
}

// BlocksNewTasks reports whether a machine must get no new tasks, because it is
// being emptied, is ordered to be taken down, or is down.
func (p *Plan) BlocksNewTasks(m id.Machine) bool {
	x := p.machines[m]
	return x != nil && (x.state == emptying || x.state == ordered || x.state == down)
}

// StartEmptying starts to empty machines, those with the lowest cost first,
// until the number of machines in maintenance reaches the wave's limit. It
// returns the machines that it has chosen. The function cost returns the work
// that is lost if a machine is emptied, or false if it can't be emptied now.
func (p *Plan) StartEmptying(now unit.Instant, cost func(id.Machine) (float64, bool)) []id.Machine {
	var out []id.Machine
	for p.inMaintenance() < max(1, p.wave.MaxDown) {
		best, minCost := id.Machine(""), 0.0
		for _, m := range p.inState(waiting) {
			if now < p.machines[m].retryAt {
				continue
			}
			if c, ok := cost(m); ok && (best == "" || c < minCost) {
				best, minCost = m, c
			}
		}
		if best == "" {
			break
		}
		p.apply(best, evEmpty)
		p.machines[best].since = now
		out = append(out, best)
	}
	return out
}

// EmptyingOverdue reports whether the emptying of a machine has used up its time,
// so that the remaining tasks are to be stopped. The time until the deadline is
// divided evenly among the remaining batches of machines, and the downtime is
// subtracted from each share.
func (p *Plan) EmptyingOverdue(now unit.Instant, m id.Machine) bool {
	remaining := len(p.machines) - p.count(done) - p.count(down)
	batches := (remaining + p.wave.MaxDown - 1) / max(1, p.wave.MaxDown)
	emptyingTime := p.deadline.Sub(now)/time.Duration(max(1, batches)) - p.downtime
	return now.Sub(p.machines[m].since) >= emptyingTime
}

// MarkOrdered records that the order to take an empty machine down is sent. It
// reports false if the order must not be sent now.
func (p *Plan) MarkOrdered(now unit.Instant, m id.Machine) bool {
	return now >= p.machines[m].retryAt && p.apply(m, evOrder)
}

// MarkDown records that the order to take a machine down was carried out. The
// machine counts as down until MarkDone, CompleteOverdue or Exclude ends that
// state.
func (p *Plan) MarkDown(now unit.Instant, m id.Machine) {
	if p.apply(m, evCarried) {
		p.machines[m].since = now
	}
}

// CompleteOverdue completes the maintenance of machines that have been down for
// longer than the downtime and listingDelay. Some of them may never go down: an
// order for a machine that had its maintenance before gets the same answer, but
// the machine stays up, so that no new incarnation appears.
func (p *Plan) CompleteOverdue(now unit.Instant) {
	for _, m := range p.inState(down) {
		if now.Sub(p.machines[m].since) > p.downtime+listingDelay {
			p.apply(m, evBack)
		}
	}
}

// MarkRefused records that a machine can't be taken down now. After retryDelay it
// may be chosen again.
func (p *Plan) MarkRefused(now unit.Instant, m id.Machine) {
	if p.apply(m, evRefused) {
		p.machines[m].retryAt = now.Add(retryDelay)
	}
}

// MarkDone records that the maintenance of a machine is completed: a new
// incarnation of the machine has appeared since the order to take it down, or
// the machine had its maintenance before.
func (p *Plan) MarkDone(m id.Machine) { p.apply(m, evBack) }

// Exclude records that a machine needs no maintenance by this plan: it is
// permanently gone, it doesn't belong to the wave, or an earlier owner has
// ordered it to be taken down.
func (p *Plan) Exclude(m id.Machine) { p.apply(m, evDrop) }

// inMaintenance returns the number of machines that are being emptied, are
// ordered to be taken down, or are down.
func (p *Plan) inMaintenance() int { return p.count(emptying) + p.count(ordered) + p.count(down) }

// count returns the number of machines in a state.
func (p *Plan) count(s state) int { return len(p.inState(s)) }

// inState returns the machines in a state, in the wave's order.
func (p *Plan) inState(s state) []id.Machine {
	var out []id.Machine
	for _, m := range p.wave.Machines {
		if p.machines[m].state == s && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
