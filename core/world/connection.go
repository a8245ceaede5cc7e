package world

import (
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
)

// connection is a connection to a worker on which orders are sent.
type connection struct {
	machine *machine
	// incarnation is the worker's incarnation that accepted the connection. It
	// is 0 if connections aren't simulated; an order then reaches any
	// incarnation.
	incarnation int
}

// isOpen reports whether an order on the connection reaches the worker.
func (c connection) isOpen() bool {
	return c.incarnation == 0 || c.machine.up && c.machine.incarnation == c.incarnation
}

// refusal is the reason why an order was not sent, and the time after which the
// sender learns of it.
type refusal struct {
	verdict fleet.Verdict
	after   time.Duration
	// otherReport is the report of another incarnation that answered under the
	// target's name; nil if none did.
	otherReport *fleet.Report
}

// connect calls send with a connection to a worker. With the delivery
// OnConnection, it reuses an open connection to the target incarnation, or
// first makes a handshake on a new connection. If the handshake fails or
// another incarnation answers it, connect calls refused instead. With the other
// deliveries, and for a worker that doesn't report its start, connections
// aren't simulated and connect calls send at once.
func (o *owner) connect(m *machine, t dispatch.Target, refused func(refusal), send func(connection)) {
	w := o.world
	if w.setup.Delivery != OnConnection || !fleet.HasStart(t.Worker) {
		send(connection{machine: m})
		return
	}
	if c := (connection{machine: m, incarnation: o.connected[m]}); c.incarnation != 0 && c.isOpen() && m.currentID == t.Worker {
		send(c)
		return
	}
	half := w.setup.Times.RoundTrip / 2
	if delay := w.lateOrders.delay(w, t); delay > 0 {
		refused(refusal{verdict: fleet.Unreachable, after: w.setup.Times.Timeout})
		return
	}
	w.Schedule(half, func() {
		switch v := m.receiveOrder(t); {
		case v != fleet.CarriedOut:
			refused(refusal{verdict: v, after: half})
		case m.silent():
			refused(refusal{verdict: fleet.Unreachable, after: w.setup.Times.Timeout})
		case m.currentID != t.Worker:
			rep := m.report()
			refused(refusal{verdict: fleet.Unreachable, after: half, otherReport: &rep})
		default:
			c := connection{machine: m, incarnation: m.incarnation}
			w.Schedule(half, func() {
				o.connected[m] = c.incarnation
				send(c)
			})
		}
	})
}
