package entry

import (
	"time"

	"go.uber.org/zap"
)

// minSuspension is the shortest suspension that is logged. A suspension shows
// as a difference between two clocks. The two clocks are read microseconds
// apart, or further apart if the process is not scheduled in between, so that
// small differences are no suspensions.
const minSuspension = 100 * time.Millisecond

// noteSuspension logs and counts a suspension of the machine if the machine has
// been suspended for at least minSuspension since the last call that logged
// one. Nothing else has to be done: the host's clock includes suspensions, so
// an assurance from before a suspension is too old to extend leases, and peers
// that couldn't answer during it are asked again.
func (h *Host) noteSuspension() {
	s := h.clock.Suspended()
	lasted := s - h.suspended
	if lasted < minSuspension {
		return
	}
	h.suspended = s
	h.metrics.suspensions.Inc()
	h.log.Warn("suspended", zap.Duration("for", lasted), zap.Bool("owner", h.owner != nil))
}
