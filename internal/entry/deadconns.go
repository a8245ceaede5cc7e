package entry

import (
	"strconv"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/conntrack"
)

// peerKind is the kind of service at the other end of a connection that this
// host opens.
type peerKind string

// The kinds of service.
const (
	toStore    peerKind = "store"
	toWorkers  peerKind = "workers"
	toAdvice   peerKind = "advice"
	toMachines peerKind = "machines"
)

// deadConnHandler returns a function that logs and counts connections of a kind
// that were found dead.
func (m *metrics) deadConnHandler(log *zap.Logger, kind peerKind) func(conntrack.DeadConn) {
	return func(c conntrack.DeadConn) {
		m.deadConnections.WithLabelValues(string(kind), strconv.FormatBool(c.First)).Inc()
		m.suspectConnections.WithLabelValues(string(kind)).Add(float64(c.Closed))
		log.Warn("connection-dead", zap.String("kind", string(kind)), zap.String("to", c.To), zap.Duration("age", c.Age),
			zap.Duration("idle", c.Idle), zap.Bool("first", c.First), zap.String("why", c.Why),
			zap.Int("closed", c.Closed))
	}
}
