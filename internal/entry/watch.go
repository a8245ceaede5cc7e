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

// The first hosts in rank, the watchers, ask the owner itself whether it is
// alive. The store lists a dead owner for a second or more; asking detects its
// death within about 0.3 s. core/election decides what follows from the
// answers.

const (
	// watchBase is the URL under which the relay path calls a host's own
	// watchTransport.
	watchBase = "http://watch"
	// ownerQueryInterval is the pause between two questions to the owner: eight
	// a second from each of four watchers are a small load for it.
	// missedQueryInterval is the pause while the owner doesn't answer.
	ownerQueryInterval  = 120 * time.Millisecond
	missedQueryInterval = 40 * time.Millisecond
	// ownerQueryTimeout is how long the owner may take to answer. The network
	// takes a few milliseconds, and a busy owner answers within some 50 ms.
	ownerQueryTimeout = 150 * time.Millisecond
	// retryQueryTimeout is how long the owner may take to answer a question
	// that follows an unanswered one. That question is sent on a new link.
	retryQueryTimeout = 200 * time.Millisecond
	// watcherQueryTimeout is how long another watcher may take to answer. A
	// watcher that is dead, as the owner may be, doesn't answer.
	watcherQueryTimeout = 100 * time.Millisecond
	// watchCheckInterval is the interval at which a host that isn't a watcher
	// checks whether it has become one.
	watchCheckInterval = 500 * time.Millisecond
)

// ownerQuery asks a host about the owner. Sent to the owner itself, it asks
// whether it is alive.
type ownerQuery struct {
	_     struct{} `cbor:",toarray"`
	Owner id.Host
}

// ownerReply is the answer to an ownerQuery.
type ownerReply struct {
	_ struct{} `cbor:",toarray"`
	// Host is the incarnation that answers.
	Host id.Host
	// Misses is set if that host has had no answer from the owner for some
	// time.
	Misses bool
}

// errOtherOwner is returned for a question about a host that, as far as this
// host knows, isn't the owner.
var errOtherOwner = errors.New("entry: another host is the owner")

// errNotDeciding is returned by a host whose deciding goroutine has ended, or
// hasn't started yet.
var errNotDeciding = errors.New("entry: the deciding goroutine is not running")

var (
	ownerQueries = codec.New[ownerQuery]()
	ownerReplies = codec.New[ownerReply]()
)

// watched is the owner that this host watches, and the other watchers.
type watched struct {
	owner   id.Host
	address string
	// others are the addresses of the other watchers.
	others []string
}

// updateWatched sets the owner that this host watches, or nil if this host
// isn't one of the owner's watchers. While the group lacks the owner, every
// candidate watches it: it may be a live one that joins again after an outage. Only
// the deciding goroutine may call it.
func (h *Host) updateWatched() {
	owner := h.table.Owner().Host
	address := h.addressOf(owner)
	watchers := h.election.Watchers(owner)
	watches := slices.Contains(watchers, h.self) || h.election.OwnerMissing() && h.member.Load()
	if owner == h.self || address == "" || !watches {
		h.watched.Store(nil)
		return
	}
	w := &watched{owner: owner, address: address}
	for _, o := range watchers {
		if o != h.self {
			w.others = append(w.others, h.peerAddresses[o])
		}
	}
	if h.watched.Swap(w) == nil {
		wake(h.watchBegins)
	}
}

// addressOf returns the address at which another host listens for peers, empty if
// unknown. The address of a host that has left the group is remembered.
func (h *Host) addressOf(host id.Host) string {
	if a := h.peerAddresses[host]; a != "" {
		return a
	}
	if o := h.others[machineOf(host)]; o.host == host {
		return o.address
	}
	return ""
}

// watchOwner repeatedly asks the owner whether it is alive, while this host is
// one of its watchers.
func (h *Host) watchOwner(ctx context.Context) {
	wait, limit := watchCheckInterval, ownerQueryTimeout
	for ctx.Err() == nil {
		pauseUntilWoken(ctx, wait, h.watchBegins)
		w := h.watched.Load()
		if w == nil || h.stopping.Load() {
			wait = watchCheckInterval
			continue
		}
		if h.askOwner(ctx, w, limit) {
			wait, limit = ownerQueryInterval, ownerQueryTimeout
		} else {
			wait, limit = missedQueryInterval, retryQueryTimeout
		}
	}
}

// askOwner asks the owner once, and also the other watchers if the owner has
// not answered for some time. It reports whether the owner has answered within
// the limit.
func (h *Host) askOwner(ctx context.Context, w *watched, limit time.Duration) bool {
	answer, err := h.askPeer(ctx, w.address, w.owner, limit)
	switch {
	case err == nil && answer.Host == w.owner:
		h.metrics.ownerAnswers.Inc()
		h.post(ctx, func(now unit.Instant) { h.election.ProbeAnswered(now, w.owner) })
		return true
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		h.post(ctx, func(unit.Instant) { h.election.ProbeRefused(w.owner) })
	default:
		h.post(ctx, func(unit.Instant) { h.election.ProbeTimedOut(w.owner) })
	}
	missed, ok := query(ctx, h, func(now unit.Instant) bool { return h.election.OwnerUnresponsive(now, w.owner) })
	if !ok || !missed {
		return false
	}
	others := h.askWatchers(ctx, w)
	h.post(ctx, func(now unit.Instant) {
		if h.election.RecordAgreement(now, w.owner, others) {
			h.log.Info("owner-missed", zap.String("owner", string(w.owner)), zap.Int("others", others), zap.Error(err))
		}
	})
	return false
}

// askWatchers returns how many of the other watchers get no answer from the
// owner either.
func (h *Host) askWatchers(ctx context.Context, w *watched) int {
	answers := make(chan bool, len(w.others))
	for _, o := range w.others {
		go func() {
			answer, err := h.askPeer(ctx, o, w.owner, watcherQueryTimeout)
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
func (h *Host) askPeer(ctx context.Context, address string, owner id.Host, limit time.Duration) (ownerReply, error) {
	body, err := ownerQueries.Encode(ownerQuery{Owner: owner})
	if err != nil {
		return ownerReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, raw, err := h.watchPath.CallPeer(ctx, address, relay.Request{Method: http.MethodPost, Path: "/", Body: body, Timeout: limit})
	if err != nil {
		return ownerReply{}, err
	}
	return ownerReplies.Decode(raw)
}

// watchTransport answers other hosts' questions about the owner, and accepts what
// owners tell.
type watchTransport struct{ host *Host }

// RoundTrip implements http.RoundTripper. A host that is asked about itself
// answers at once, without the deciding goroutine: an owner whose deciding
// goroutine is busy remains the owner.
func (t watchTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if !t.host.deciding.Load() {
		return nil, errNotDeciding
	}
	if req.URL.Path == handoverPath {
		return t.host.acceptHandover(req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	q, err := ownerQueries.Decode(body)
	if err != nil {
		t.host.log.Warn("question-rejected", zap.Error(err))
		return nil, err
	}
	p := ownerReply{Host: t.host.self}
	if q.Owner != t.host.self {
		known, _ := query(req.Context(), t.host, func(now unit.Instant) bool {
			p.Misses = t.host.election.ConfirmUnresponsive(now, q.Owner)
			return !t.host.loaded || t.host.table.Owner().Host == q.Owner // before this host has read the jobs it can't be the owner
		})
		if !known {
			return nil, errOtherOwner
		}
	}
	raw, err := ownerReplies.Encode(p)
	if err != nil {
		return nil, err
	}
	return relay.NewResponse(req, http.StatusOK, raw), nil
}
