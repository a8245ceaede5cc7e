package entry

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/platform"
)

const (
	// refusingAfter is for how long every call to the store must have been refused before it
	// counts as one that takes nothing: a refusal for too many calls ends within one second's
	// share of them, and one that restarts refuses for longer than this.
	refusingAfter = 150 * time.Millisecond
	// hangingAfter is after which time without any answer a call counts as hanging. A slow
	// store answers within 300 ms.
	hangingAfter = 400 * time.Millisecond
	// mostUnanswered is how many calls in a row must end without an answer for the same. A store
	// that loses three answers in ten loses so many in a row once in forty calls.
	mostUnanswered = 3
	// slowAfter is how long an answer takes at least from a store that counts as slow: ten times
	// the usual time.
	slowAfter = 100 * time.Millisecond
)

// storeHealth is what a host's short calls to the store, those that don't wait there for news,
// say of it. A call of a client that needs the store is refused at once while it takes nothing,
// so that the client has time left for another host. It is safe for concurrent use.
type storeHealth struct {
	log *zap.Logger

	mu sync.Mutex
	// under holds when each call under way began, by its number.
	under map[uint64]time.Time
	next  uint64
	// answered is when the last answer came, of whatever kind.
	answered time.Time
	// refusedSince is when the first of the newest refusals in a row came; zero if the newest
	// answer was another one.
	refusedSince time.Time
	// unanswered counts the calls in a row that ended without an answer, unansweredSince is when
	// the first of them did.
	unanswered      int
	unansweredSince time.Time
	// took is how long the newest answer took.
	took time.Duration
}

func newStoreHealth(log *zap.Logger) *storeHealth {
	return &storeHealth{log: log, under: map[uint64]time.Time{}}
}

// begin notes a call that leaves now. The function that it returns takes what became of it.
func (h *storeHealth) begin() func(error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	n := h.next
	h.under[n] = time.Now()
	return func(err error) { h.end(n, err) }
}

// end notes what became of a call.
func (h *storeHealth) end(n uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	began := h.under[n]
	delete(h.under, n)
	now := time.Now()
	if errors.Is(err, platform.ErrUnknown) {
		if h.unanswered == 0 {
			h.unansweredSince = now
		}
		h.unanswered++
		return
	}
	h.unanswered = 0
	h.answered = now
	h.learnPace(now.Sub(began))
	switch {
	case !errors.Is(err, platform.ErrNotDone):
		h.refusedSince = time.Time{}
	case h.refusedSince.IsZero():
		h.refusedSince = now
	}
}

// learnPace notes how long the newest answer took, and logs when that changes what is believed.
func (h *storeHealth) learnPace(took time.Duration) {
	was := h.took >= slowAfter
	h.took = took
	if slow := took >= slowAfter; slow != was {
		h.log.Info("store-pace", zap.Bool("slow", slow), zap.Duration("took", took))
	}
}

// refusing reports whether the store has refused every call for a while.
func (h *storeHealth) refusing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.refusedSince.IsZero() && time.Since(h.refusedSince) >= refusingAfter
}

// slow reports whether the newest answer took long, or one has been awaited for as long.
func (h *storeHealth) slow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.took >= slowAfter {
		return true
	}
	for _, began := range h.under {
		if time.Since(began) >= slowAfter {
			return true
		}
	}
	return false
}

// hanging reports whether the store answers nothing: some call has waited long for its answer and
// no other one has got one meanwhile, or several in a row have ended without one. A client's call
// would then end unknown, after which many clients can't ask again.
func (h *storeHealth) hanging() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unanswered >= mostUnanswered && time.Since(h.unansweredSince) >= refusingAfter {
		return true
	}
	for _, began := range h.under {
		if time.Since(began) >= hangingAfter && h.answered.Before(began) {
			return true
		}
	}
	return false
}
