package relay

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// probeLimit is how long a probe of the direct way may take beyond the time that the call may wait.
const probeLimit = 2 * hedgeAfter

// directWay is what is known of the direct way of a path. The path's lock guards it.
type directWay struct {
	// suspect is until when the way isn't the first choice.
	suspect time.Time
	// heard is when something last arrived on the way.
	heard time.Time
	// silent is set while the way is suspect because nothing arrived on it. A call would wait for its hedge before a peer is
	// asked, so the way is tried by a probe beside a call, and is the first choice only after an answer.
	silent bool
}

// hear notes that something has arrived on the direct way.
func (p *Path) hear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.direct.heard = time.Now()
}

// takeProbe reports whether a probe of the direct way is due, and puts the next one off by suspectFor if so. The path is locked.
func (p *Path) takeProbe(now time.Time) bool {
	if !p.direct.silent || !now.After(p.direct.suspect) {
		return false
	}
	p.direct.suspect = now.Add(suspectFor)
	return true
}

// learnSilence notes that the direct way is silent if a peer has answered a call for which it had time enough. A store that is slow
// for all hosts answers some call on the direct way meanwhile, and the peer as late.
func (p *Path) learnSilence(r *race) {
	now := time.Now()
	if r.directSince.IsZero() || now.Sub(r.directSince) < r.patience() || now.Sub(r.peerSince) >= hedgeAfter {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.direct.silent || p.direct.heard.After(r.directSince) {
		return
	}
	p.direct.silent = true
	p.direct.suspect = now.Add(suspectFor)
	p.log.Info("direct-path", zap.String("to", p.base), zap.Bool("works", false), zap.String("why", "silent while a peer is answered"),
		zap.Duration("silent", now.Sub(r.directSince)), zap.Duration("peer", now.Sub(r.peerSince)))
}

// probe makes a call on the direct way for what becomes of it alone: the caller is answered by a peer, and doesn't end it.
func (p *Path) probe(req *http.Request, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(req.Context()), wait+probeLimit)
	defer cancel()
	p.learn(p.try(req.WithContext(ctx), true, wait))
}
