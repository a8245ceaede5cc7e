// Package upkeep plans a wave of maintenance: each machine of a set is taken down once, so
// many at a time at most, and all before a time.
//
// A Plan decides which machines are emptied next and how long that may take. Whoever drives
// it says when a machine is empty, what became of an order, and when a machine is back.
package upkeep

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// state is how far a machine is, event what happens to it; upkeep.chart has the transitions.
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
	// orderAgain is the pause before a machine that was refused is tried again.
	orderAgain = time.Second
	// backSlack is added to the time for which a machine is down, for its new life's
	// entry in the platform's list: that is written every 1.5 s and read with a lag.
	backSlack = 5 * time.Second
)

// Wave is what the operator asks for.
type Wave struct {
	Number   id.Wave
	Machines []id.Machine
	// Within is how long the wave may take from when it was first seen.
	Within time.Duration
	// Most is how many machines may be down at a time, at least 1.
	Most int
}

// Plan is how far a wave is. The zero value is not ready; call New.
type Plan struct {
	wave Wave
	// end is when all machines must have been taken down.
	end unit.Instant
	// away is how long a machine is down.
	away     time.Duration
	machines map[id.Machine]*machine
}

// machine is one machine of the wave.
type machine struct {
	state state
	// since is when emptying began, or when the machine went down.
	since unit.Instant
	// next is when the machine may be tried again after a refusal.
	next unit.Instant
}

// New returns the plan of a wave that was first seen at a time. Each machine is down for
// about away.
func New(w Wave, seen unit.Instant, away time.Duration) *Plan {
	p := &Plan{wave: w, end: seen.Add(w.Within), away: away, machines: map[id.Machine]*machine{}}
	for _, m := range w.Machines {
		p.machines[m] = &machine{state: waiting}
	}
	return p
}

// apply moves a machine along the chart. It reports whether its state allows that.
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

// Finished reports whether every machine that stays had its maintenance.
func (p *Plan) Finished() bool { return p.count(done) == len(p.machines) }

// Emptying returns the machines that are to take no new tasks, in the wave's order.
func (p *Plan) Emptying() []id.Machine { return p.in(emptying) }

// Open returns the machines that have not come back from their maintenance yet.
func (p *Plan) Open() []id.Machine {
	return slices.Concat(p.in(waiting), p.in(emptying), p.in(ordered), p.in(down))
}

// Held reports whether a machine is to take no new tasks.
func (p *Plan) Held(m id.Machine) bool {
	x := p.machines[m]
	return x != nil && (x.state == emptying || x.state == ordered || x.state == down)
}

// Choose begins to empty machines, the cheapest first, while fewer than may be down at a
// time are under way. cost says what emptying a machine would throw away, or that it can't
// be emptied now.
func (p *Plan) Choose(now unit.Instant, cost func(id.Machine) (float64, bool)) []id.Machine {
	var out []id.Machine
	for p.underWay() < max(1, p.wave.Most) {
		best, least := id.Machine(""), 0.0
		for _, m := range p.in(waiting) {
			if now < p.machines[m].next {
				continue
			}
			if c, ok := cost(m); ok && (best == "" || c < least) {
				best, least = m, c
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

// Hurry reports whether a machine has been emptied for as long as the wave can wait: the
// time that is left is shared by the machines that are left, with the time that each is
// down taken off.
func (p *Plan) Hurry(now unit.Instant, m id.Machine) bool {
	left := len(p.machines) - p.count(done) - p.count(down)
	turns := (left + p.wave.Most - 1) / max(1, p.wave.Most)
	share := p.end.Sub(now)/time.Duration(max(1, turns)) - p.away
	return now.Sub(p.machines[m].since) >= share
}

// Order notes that the order to take an empty machine down leaves. It reports false if that
// is not its turn.
func (p *Plan) Order(now unit.Instant, m id.Machine) bool {
	return now >= p.machines[m].next && p.apply(m, evOrder)
}

// Carried takes in that an order was carried out: the machine counts as down until it is
// back.
func (p *Plan) Carried(now unit.Instant, m id.Machine) {
	if p.apply(m, evCarried) {
		p.machines[m].since = now
	}
}

// Settle takes machines for back that have been down for much longer than planned. A machine
// that had its maintenance before is answered like one that goes down now, and stays up.
func (p *Plan) Settle(now unit.Instant) {
	for _, m := range p.in(down) {
		if now.Sub(p.machines[m].since) > p.away+backSlack {
			p.apply(m, evBack)
		}
	}
}

// Refused takes in that a machine can't be taken down now.
func (p *Plan) Refused(now unit.Instant, m id.Machine) {
	if p.apply(m, evRefused) {
		p.machines[m].next = now.Add(orderAgain)
	}
}

// Back takes in that a machine has another life after its order, or had its maintenance
// before.
func (p *Plan) Back(m id.Machine) { p.apply(m, evBack) }

// Drop takes in that a machine is gone for good, or isn't of this wave.
func (p *Plan) Drop(m id.Machine) { p.apply(m, evDrop) }

// underWay counts the machines that are down or soon will be.
func (p *Plan) underWay() int { return p.count(emptying) + p.count(ordered) + p.count(down) }

// count returns how many machines are in a state.
func (p *Plan) count(s state) int { return len(p.in(s)) }

// in returns the machines in a state, in the wave's order.
func (p *Plan) in(s state) []id.Machine {
	var out []id.Machine
	for _, m := range p.wave.Machines {
		if p.machines[m].state == s && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
