package entry

import (
	"time"

	"go.uber.org/zap"
)

// leastSuspension is how long a suspension must be to be told: readings of the two clocks that it shows by are
// microseconds apart, more where a process is kept waiting between them.
const leastSuspension = 100 * time.Millisecond

// noteSuspension tells of a suspension of the machine since the last look. What follows from it follows from the time that has passed: leases
// aren't extended on an assurance from before, and peers that can't have answered meanwhile are asked again.
func (h *Host) noteSuspension() {
	s := h.clock.Suspended()
	lasted := s - h.suspended
	if lasted < leastSuspension {
		return
	}
	h.suspended = s
	h.metrics.suspensions.Inc()
	h.log.Warn("suspended", zap.Duration("for", lasted), zap.Bool("owner", h.owner != nil))
}
