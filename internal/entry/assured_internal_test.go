package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
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

// storeScript answers the calls to a store one after the other, each after a while, and no more after the last. An empty
// answer is lost.
type storeScript struct {
	after   time.Duration
	answers []string
}

// RoundTrip implements http.RoundTripper.
func (s *storeScript) RoundTrip(req *http.Request) (*http.Response, error) {
	body := ""
	if len(s.answers) > 0 {
		body = s.answers[0]
		s.answers = s.answers[1:]
	}
	if body == "" {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	if !pause(req.Context(), s.after) {
		return nil, req.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}, Request: req}, nil
}

// newAssured returns a host between a store and nobody else, whose decisions are taken as they come.
func newAssured(ctx context.Context, store *storeScript) *Host {
	h := &Host{
		log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: "a#1", table: jobtable.New(), events: ring.New[event](events),
		clock: newTestClock(), watchers: watchers{},
		store: platform.NewStore("store", &http.Client{Transport: store}), election: election.New(election.Member{Host: "a#1", Ability: 100}),
	}
	go decideEach(ctx, h.events, h.now, func(unit.Instant) {})
	return h
}

// TestAssuredByWholeRead reads a page of the jobs that doesn't reach the end of the log.
//
// A page holds 1 MB at most. What stands behind it may be another host's claim, written long before the read left, so that
// the page doesn't tell that nobody else was the owner then. It was taken for that.
func TestAssuredByWholeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		page := "\x00\x00\x00\x00\x00\x00\x00\x09" + "\x00\x00\x00\x00\x00\x00\x00\x00" + "\x00\x00\x00\x03\x01xy" // 1 record of 9
		h := newAssured(ctx, &storeScript{after: 100 * time.Millisecond, answers: []string{`{"items":[],"end":0}`, page}})
		begun := h.now()
		go h.readJobs(ctx)
		time.Sleep(900 * time.Millisecond) // with the pause behind a read that brought news
		synctest.Wait()
		if next := h.table.Next(); next != 1 {
			t.Errorf("%d records were read", next)
		}
		if h.assured > begun {
			t.Errorf("a read of 1 record of 9 assures as of %s after the load left", h.assured.Sub(begun))
		}
		cancel()
		synctest.Wait()
	})
}

// TestAssuredByClaim claims at a store that answers after 900 ms.
//
// The answer tells that nobody had claimed later when the claim was written, and that may be as long ago as the claim left.
// The new owner took the time of the answer, so that it granted leases for longer than 3 s after the claim of yet another host.
func TestAssuredByClaim(t *testing.T) {
	// The claim, the record that fences earlier owners in the progress log, and what that log holds.
	const claimed, closed, progress = `{"offset":0,"end":1}`, `{"offset":0,"end":1}`, `{"items":[],"end":1}`
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newAssured(ctx, &storeScript{after: 900 * time.Millisecond, answers: []string{claimed, closed, progress}})
		left := h.now()
		h.post(ctx, func(unit.Instant) {
			h.loaded = true
			h.claim(ctx)
		})
		time.Sleep(2750 * time.Millisecond)
		synctest.Wait()
		if h.owner == nil {
			t.Fatal("the host is not the owner")
		}
		if h.assured > left {
			t.Errorf("assured as of %s after the claim left", h.assured.Sub(left))
		}
		h.owner.cancel()
		cancel()
		synctest.Wait()
	})
}

// TestAgreesBeforeLoaded asks a host that hasn't read the jobs yet, as one that was started a moment before an outage of the store.
//
// It becomes the owner by nothing but reading its own claim, so that it agrees for now. It answered that another host is the owner, and
// the owner withheld all leases until the outage was over.
func TestAgreesBeforeLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newAssured(ctx, &storeScript{})
		h.deciding.Store(true)
		body, err := questions.Encode(question{Owner: "b#1"})
		if err != nil {
			t.Fatal(err)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, watchBase+"/", strings.NewReader(string(body)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := (watchTransport{h}).RoundTrip(req); err != nil {
			t.Errorf("answered %v", err)
		}
		cancel()
		synctest.Wait()
	})
}

// TestAssuredAfterLostRead loses one read of the jobs while nothing is written, on an owner whose others don't answer.
//
// An assurance holds for 3 s, so that one lost read in a row does no harm. From when the read before it left until the one after it was
// answered it took 0.7 s, 1.7 s with the limit of the client, a pause and 0.7 s.
func TestAssuredAfterLostRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		none := strings.Repeat("\x00", 16)
		h := newAssured(ctx, &storeScript{after: ownerWait, answers: []string{`{"items":[],"end":0}`, none, none, "", none, none}})
		h.metrics.owning.Store(true)
		go h.readJobs(ctx)
		oldest := time.Duration(0)
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			age, _ := ask(ctx, h, func(now unit.Instant) time.Duration {
				if !h.loaded {
					return 0
				}
				return now.Sub(h.assured)
			})
			oldest = max(oldest, age)
		}
		if oldest > 3*time.Second {
			t.Errorf("the newest assurance was %s old", oldest)
		}
		cancel()
		synctest.Wait()
	})
}
