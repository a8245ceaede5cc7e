package world

import (
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
)

// connection is what an order to a worker leaves on.
type connection struct {
	machine *machine
	// life is the one that has accepted the connection; 0 where any life gets what is sent.
	incarnation int
}

// open reports whether what was sent reaches somebody.
func (c connection) isOpen() bool {
	return c.incarnation == 0 || c.machine.up && c.machine.incarnation == c.incarnation
}

// refusal is why an order was not sent, and how long it takes until its sender knows.
type refusal struct {
	verdict fleet.Verdict
	after   time.Duration
	// other is what another life answered that has the name of the one that was meant; nil if none did.
	otherReport *fleet.Report
}

// connect lets something be sent to a worker: at once on a connection to the life that is meant, else after a handshake on a new one. What
// keeps it from being sent is told.
func (o *owner) connect(m *machine, t dispatch.Target, refused func(refusal), send func(connection)) {
	w := o.world
	if w.setup.Delivery != OnConnection || !fleet.TellsStart(t.Worker) {
		send(connection{machine: m})
		return
	}
	if c := (connection{machine: m, incarnation: o.connected[m]}); c.incarnation != 0 && c.isOpen() && m.currentID == t.Worker {
		send(c)
		return
	}
	half := w.setup.Times.Trip / 2
	if by := w.lateOrders.delay(w, t); by > 0 {
		refused(refusal{verdict: fleet.Unreachable, after: w.setup.Times.Timeout})
		return
	}
	w.Plan(half, func() {
		switch v := m.receiveOrder(t); {
		case v != fleet.Carried:
			refused(refusal{verdict: v, after: half})
		case m.silent():
			refused(refusal{verdict: fleet.Unreachable, after: w.setup.Times.Timeout})
		case m.currentID != t.Worker:
			rep := m.report()
			refused(refusal{verdict: fleet.Unreachable, after: half, otherReport: &rep})
		default:
			c := connection{machine: m, incarnation: m.incarnation}
			w.Plan(half, func() {
				o.connected[m] = c.incarnation
				send(c)
			})
		}
	})
}
