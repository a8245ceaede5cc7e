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
	return func(f conntrack.DeadConn) {
		m.deadConnections.WithLabelValues(string(kind), strconv.FormatBool(f.First)).Inc()
		m.suspectConnections.WithLabelValues(string(kind)).Add(float64(f.Closed))
		log.Warn("connection-dead", zap.String("kind", string(kind)), zap.String("to", f.To), zap.Duration("age", f.Age),
			zap.Duration("idle", f.Idle), zap.Bool("first", f.First), zap.String("why", f.Why),
			zap.Int("closed", f.Closed))
	}
}
