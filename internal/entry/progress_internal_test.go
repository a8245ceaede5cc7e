package entry

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// emptyStore is a store whose topics have no records. It counts the calls about
// the progress log.
type emptyStore struct {
	mu    sync.Mutex
	calls int
}

// RoundTrip implements http.RoundTripper. A read waits for as long as it may.
func (s *emptyStore) RoundTrip(req *http.Request) (*http.Response, error) {
	q := req.URL.Query()
	if q.Get("topic") == string(platform.TopicProgress) {
		s.mu.Lock()
		s.calls++
		s.mu.Unlock()
	}
	body := `{"items":[],"end":0}`
	if req.URL.Path == "/log-read" {
		wait, err := time.ParseDuration("0" + q.Get("WaitMs") + "ms")
		if err != nil || !pause(req.Context(), wait) {
			return nil, req.Context().Err()
		}
		body = string(make([]byte, 16))
	}
	return (&storeScript{answers: []string{body}}).RoundTrip(req)
}

// takeCalls returns the number of calls since it was last called.
func (s *emptyStore) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

// TestWhoReadsProgress checks that a host reads the progress log only while it
// is among the first to claim: neither while it is far from claiming, nor while
// it is the owner.
//
// It guards against an overload of the store: all 147 hosts of a site read what
// the owner wrote, 1.4 MB/s when work began, from a store that delivers 80 MB/s
// in total. Reads were answered 2 s late and then not at all, each was retried
// from the start, and the configuration wasn't read any more either: no call of
// a client was answered for a whole day.
func TestWhoReadsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &emptyStore{}
		h := &Host{
			log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: "a#1",
			table: jobtable.New(), events: ring.New[event](eventCapacity), clock: newTestClock(),
			store: platform.NewStore("store", &http.Client{Transport: store}), election: election.New(election.Member{Host: "a#1"}), watchers: watchers{},
		}
		go decideEach(ctx, h.events, h.now, func(unit.Instant) {})
		go h.readProgress(ctx)
		for _, c := range []struct {
			standby, owning bool
			follows         bool
		}{{false, false, false}, {true, false, true}, {true, true, false}, {true, false, true}, {false, false, false}} {
			h.standby.Store(c.standby)
			h.metrics.owning.Store(c.owning)
			time.Sleep(2 * jobsWait) // calls in flight end
			store.takeCalls()
			time.Sleep(10 * time.Second)
			synctest.Wait()
			if got := store.takeCalls() > 0; got != c.follows {
				t.Errorf("standby %t, owner %t: host follows the progress log: %t", c.standby, c.owning, got)
			}
			holds, _ := query(ctx, h, func(unit.Instant) bool { return h.progress.complete })
			if holds != c.follows {
				t.Errorf("standby %t, owner %t: host holds the progress log: %t", c.standby, c.owning, holds)
			}
		}
		cancel()
		synctest.Wait()
	})
}
