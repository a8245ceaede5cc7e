package entry

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/platform"
)

const (
	// refusingAfter is for how long the store must have refused every call
	// before it counts as refusing. Refusals because of the limit on calls a
	// second end sooner, and a restarting store refuses for longer than this.
	refusingAfter = 150 * time.Millisecond
	// hangingAfter is how long a call must have been without an answer, and no
	// other call answered, before the store counts as hanging. A slow store
	// answers within 300 ms.
	hangingAfter = 400 * time.Millisecond
	// maxUnanswered is how many calls in a row must end without an answer
	// before the store counts as hanging. A store that loses 30% of its answers
	// loses that many in a row about once in forty calls.
	maxUnanswered = 3
	// slowAfter is the latency from which on the store counts as slow: ten
	// times the usual one.
	slowAfter = 100 * time.Millisecond
)

// storeHealth tracks the health of the store by the host's short calls to it,
// that is, those that don't wait at the store for new records. While the store
// accepts nothing, a client's request that needs it is refused at once, so that
// the client has time left to try another host. It is safe for concurrent use.
type storeHealth struct {
	log *zap.Logger

	mu sync.Mutex
	// inFlight holds the start time of each call in flight, by its number.
	// lastCall is the number of the newest call.
	inFlight map[uint64]time.Time
	lastCall uint64
	// answered is when the last answer of any kind arrived.
	answered time.Time
	// refusedSince is when the first refusal of the current unbroken series
	// arrived; zero if the newest answer wasn't a refusal.
	refusedSince time.Time
	// unanswered counts the consecutive calls that ended without an answer;
	// unansweredSince is when the first of them ended.
	unanswered      int
	unansweredSince time.Time
	// latency is how long the newest answer took to arrive.
	latency time.Duration
}

func newStoreHealth(log *zap.Logger) *storeHealth {
	return &storeHealth{log: log, inFlight: map[uint64]time.Time{}}
}

// begin records a call that is sent now. The caller passes the call's error to
// the returned function.
func (h *storeHealth) begin() func(error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastCall++
	n := h.lastCall
	h.inFlight[n] = time.Now()
	return func(err error) { h.end(n, err) }
}

// end records the result of a call.
func (h *storeHealth) end(n uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	began := h.inFlight[n]
	delete(h.inFlight, n)
	now := time.Now()
	if errors.Is(err, platform.ErrNoAnswer) {
		if h.unanswered == 0 {
			h.unansweredSince = now
		}
		h.unanswered++
		return
	}
	h.unanswered = 0
	h.answered = now
	h.noteLatency(now.Sub(began))
	switch {
	case !errors.Is(err, platform.ErrNotDone):
		h.refusedSince = time.Time{}
	case h.refusedSince.IsZero():
		h.refusedSince = now
	}
}

// noteLatency records the latency of the newest answer, and logs a change
// between slow and normal.
func (h *storeHealth) noteLatency(took time.Duration) {
	wasSlow := h.latency >= slowAfter
	h.latency = took
	if slow := took >= slowAfter; slow != wasSlow {
		h.log.Info("store-pace", zap.Bool("slow", slow), zap.Duration("took", took))
	}
}

// refusing reports whether the store has refused every call for at least
// refusingAfter.
func (h *storeHealth) refusing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.refusedSince.IsZero() && time.Since(h.refusedSince) >= refusingAfter
}

// slow reports whether the newest answer took at least slowAfter, or a call has
// been in flight for that long.
func (h *storeHealth) slow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.latency >= slowAfter {
		return true
	}
	for _, began := range h.inFlight {
		if time.Since(began) >= slowAfter {
			return true
		}
	}
	return false
}

// hanging reports whether the store doesn't answer: some call has been in
// flight for at least hangingAfter without another one being answered since it
// began, or several calls in a row have ended without an answer. A client's
// request would then end with an unknown outcome, after which many clients
// can't retry.
func (h *storeHealth) hanging() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unanswered >= maxUnanswered && time.Since(h.unansweredSince) >= refusingAfter {
		return true
	}
	for _, began := range h.inFlight {
		if time.Since(began) >= hangingAfter && h.answered.Before(began) {
			return true
		}
	}
	return false
}
