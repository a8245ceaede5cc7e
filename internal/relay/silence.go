package relay

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// probeGrace is how long a probe of the direct path may take beyond the time
// that the call may wait at the server.
const probeGrace = 2 * hedgeDelay

// directState is what a Transport knows about its direct path. Transport.mu
// guards it.
type directState struct {
	// suspectUntil is the time until which the direct path isn't tried first.
	suspectUntil time.Time
	// lastArrival is when bytes last arrived on the direct path.
	lastArrival time.Time
	// silent is set while the direct path is suspect because no bytes arrived
	// on it. If calls tried this path first, each would lose its hedge delay
	// before a peer is tried. So calls try a peer first, and the direct path is
	// probed in parallel. Once a probe is answered, calls try the direct path
	// first again.
	silent bool
}

// recordArrival records that bytes have arrived on the direct path.
func (p *Transport) recordArrival() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.direct.lastArrival = time.Now()
}

// takeProbe reports whether a probe of the direct path is due. If so, the next
// one is due after suspectDuration. The caller holds p.mu.
func (p *Transport) takeProbe(now time.Time) bool {
	if !p.direct.silent || !now.After(p.direct.suspectUntil) {
		return false
	}
	p.direct.suspectUntil = now.Add(suspectDuration)
	return true
}

// recordSilence marks the direct path silent if a peer has answered a call
// quickly, while the direct path had enough time to answer it and delivered no
// bytes. A store that is slow for all hosts doesn't cause this: in the same
// time, another call would have been answered on the direct path, or the peer's
// answer would have been as late.
func (p *Transport) recordSilence(r *hedgedCall) {
	now := time.Now()
	if r.directStart.IsZero() || now.Sub(r.directStart) < r.backupDelay() || now.Sub(r.peerStart) >= hedgeDelay {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.direct.silent || p.direct.lastArrival.After(r.directStart) {
		return
	}
	p.direct.silent = true
	p.direct.suspectUntil = now.Add(suspectDuration)
	p.log.Info("direct-path", zap.String("to", p.base), zap.Bool("works", false), zap.String("why", "the direct path is silent while a peer gets answers"),
		zap.Duration("silent", now.Sub(r.directStart)), zap.Duration("peer", now.Sub(r.peerStart)))
}

// probe makes a copy of a call on the direct path, only to find out whether
// this path answers. The caller gets its answer from a peer. The probe isn't
// canceled when the caller's request ends.
func (p *Transport) probe(req *http.Request, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(req.Context()), wait+probeGrace)
	defer cancel()
	p.recordOutcome(p.try(req.WithContext(ctx), true, wait))
}
