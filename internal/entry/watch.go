package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/relay"
)

// The first hosts in rank ask the owner itself whether it lives. The store shows a dead owner for
// a second and more; this shows it within about 0.3 s. What follows from the answers is decided in
// core/election.

const (
	// watchBase is the address under which a host's own answers are called on the relay's path.
	watchBase = "http://watch"
	// askEvery is the pause between two questions to the owner: eight a second from each of four
	// watchers cost it little. askSoon is the pause while it is missed.
	askEvery = 120 * time.Millisecond
	askSoon  = 40 * time.Millisecond
	// askWait is how long the owner may take to answer. A way takes a few milliseconds; an owner
	// that is busy answers within some 50 ms.
	askWait = 150 * time.Millisecond
	// askAgainWait is the same for a question after one without an answer, which goes on a new link.
	askAgainWait = 200 * time.Millisecond
	// witnessWait is how long the other watchers may take. One that is dead too doesn't answer.
	witnessWait = 100 * time.Millisecond
	// watchLook is the pause of a host that doesn't watch, until it looks whether it is to.
	watchLook = 500 * time.Millisecond
)

// question asks a host about the owner. To the owner itself it asks whether it lives.
type question struct {
	_     struct{} `cbor:",toarray"`
	Owner id.Host
}

// presence answers a question.
type presence struct {
	_ struct{} `cbor:",toarray"`
	// Host is the life that answers.
	Host id.Host
	// Misses is set if that host has had no answer from the owner for a while.
	Misses bool
}

// errOtherOwner reports a question about a host that isn't the owner, as far as this host knows.
var errOtherOwner = errors.New("entry: another host is the owner")

// errNotDeciding reports a host that has ended, or hasn't begun yet.
var errNotDeciding = errors.New("entry: the host decides nothing")

var (
	questions = codec.New[question]()
	presences = codec.New[presence]()
)

// watched is whom a host asks whether it lives, and who else does.
type watched struct {
	owner   id.Host
	address string
	// others are the addresses of the other watchers.
	others []string
}

// findWatched notes whom this host watches: nobody unless it is one of the owner's watchers. It
// belongs to the deciding goroutine.
func (h *Host) findWatched() {
	owner := h.table.Owner().Host
	address := h.peerAddresses[owner]
	watchers := h.election.Watchers(owner)
	if address == "" || !slices.Contains(watchers, h.self) {
		h.watched.Store(nil)
		return
	}
	w := &watched{owner: owner, address: address}
	for _, o := range watchers {
		if o != h.self {
			w.others = append(w.others, h.peerAddresses[o])
		}
	}
	h.watched.Store(w)
}

// watchOwner asks the owner whether it lives while this host is one of its watchers.
func (h *Host) watchOwner(ctx context.Context) {
	wait, limit := watchLook, askWait
	for pause(ctx, wait) {
		w := h.watched.Load()
		if w == nil || h.stopping.Load() {
			wait = watchLook
			continue
		}
		if h.askOwner(ctx, w, limit) {
			wait, limit = askEvery, askWait
		} else {
			wait, limit = askSoon, askAgainWait
		}
	}
}

// askOwner asks the owner once, and the other watchers if it is missed. It reports whether the owner
// has answered within the limit.
func (h *Host) askOwner(ctx context.Context, w *watched, limit time.Duration) bool {
	answer, err := h.askPeer(ctx, w.address, w.owner, limit)
	switch {
	case err == nil && answer.Host == w.owner:
		h.metrics.heard.Inc()
		h.post(ctx, func(now unit.Instant) { h.election.Heard(now, w.owner) })
		return true
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		h.post(ctx, func(unit.Instant) { h.election.Gone(w.owner) })
	default:
		h.post(ctx, func(unit.Instant) { h.election.Unanswered(w.owner) })
	}
	missed, ok := ask(ctx, h, func(now unit.Instant) bool { return h.election.Misses(now, w.owner) })
	if !ok || !missed {
		return false
	}
	others := h.askWatchers(ctx, w)
	h.post(ctx, func(now unit.Instant) {
		if h.election.Agreed(now, w.owner, others) {
			h.log.Info("owner-missed", zap.String("owner", string(w.owner)), zap.Int("others", others), zap.Error(err))
		}
	})
	return false
}

// askWatchers returns how many of the other watchers miss the owner as well.
func (h *Host) askWatchers(ctx context.Context, w *watched) int {
	answers := make(chan bool, len(w.others))
	for _, o := range w.others {
		go func() {
			answer, err := h.askPeer(ctx, o, w.owner, witnessWait)
			answers <- err == nil && answer.Misses
		}()
	}
	missing := 0
	for range w.others {
		if <-answers {
			missing++
		}
	}
	return missing
}

// askPeer asks the host at an address about the owner.
func (h *Host) askPeer(ctx context.Context, address string, owner id.Host, limit time.Duration) (presence, error) {
	body, err := questions.Encode(question{Owner: owner})
	if err != nil {
		return presence{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, raw, err := h.watchPath.To(ctx, address, relay.Request{Method: http.MethodPost, Path: "/", Body: body, Limit: limit})
	if err != nil {
		return presence{}, err
	}
	return presences.Decode(raw)
}

// watchTransport answers the questions of other hosts.
type watchTransport struct{ host *Host }

// RoundTrip implements http.RoundTripper. A host that is asked about itself answers at once: an
// owner whose deciding goroutine is busy keeps its office.
func (t watchTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if !t.host.deciding.Load() {
		return nil, errNotDeciding
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	q, err := questions.Decode(body)
	if err != nil {
		t.host.log.Warn("question-rejected", zap.Error(err))
		return nil, err
	}
	p := presence{Host: t.host.self}
	if q.Owner != t.host.self {
		known, _ := ask(req.Context(), t.host, func(now unit.Instant) bool {
			p.Misses = t.host.election.Witness(now, q.Owner)
			return !t.host.loaded || t.host.table.Owner().Host == q.Owner // it owns nothing before it has read the jobs
		})
		if !known {
			return nil, errOtherOwner
		}
	}
	raw, err := presences.Encode(p)
	if err != nil {
		return nil, err
	}
	return relay.Answer(req, http.StatusOK, raw), nil
}
