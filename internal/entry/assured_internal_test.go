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

// storeScript answers the calls to a store with the given answers in turn, each
// after a delay, and no call after the last one. An empty string stands for a
// lost answer.
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

// newAssured returns a host with a store and without other hosts, whose events
// are handled as they arrive.
func newAssured(ctx context.Context, store *storeScript) *Host {
	h := &Host{
		log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: "a#1", table: jobtable.New(),
		events: ring.New[event](eventCapacity), clock: newTestClock(), watchers: watchers{},
		store: platform.NewStore("store", &http.Client{Transport: store}), election: election.New(election.Member{Host: "a#1", Ability: 100}),
	}
	h.following.Store(true)
	go decideEach(ctx, h.events, h.now, func(unit.Instant) {})
	return h
}

// TestAssuredByWholeRead reads a page of the jobs that doesn't reach the end of
// the log, which must not renew the assurance.
//
// A page holds 1 MB at most. The rest of the log may contain another host's
// claim that was written long before the read was sent, so the page doesn't
// show that no other host was the owner then.
func TestAssuredByWholeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		page := "\x00\x00\x00\x00\x00\x00\x00\x09" + "\x00\x00\x00\x00\x00\x00\x00\x00" + "\x00\x00\x00\x03\x01xy" // 1 record of 9
		h := newAssured(ctx, &storeScript{after: 100 * time.Millisecond, answers: []string{`{"items":[],"end":0}`, page}})
		loadSent := h.now()
		go h.readJobs(ctx)
		time.Sleep(900 * time.Millisecond) // includes the pause after a read that returned records
		synctest.Wait()
		if next := h.table.NextOffset(); next != 1 {
			t.Errorf("%d records were read, want 1", next)
		}
		if h.assured > loadSent {
			t.Errorf("a read of 1 record of 9 assures as of %s after the load was sent", h.assured.Sub(loadSent))
		}
		cancel()
		synctest.Wait()
	})
}

// TestAssuredByClaim claims at a store that answers after 900 ms.
//
// The answer shows only that no other host had claimed later when the claim was
// written, which may have been right after it was sent. Counting the assurance
// from the answer lets a new owner grant leases for longer than 3 s after
// another host's claim.
func TestAssuredByClaim(t *testing.T) {
	// The answers to the claim, to the record that fences earlier owners in the
	// progress log, and to the read of that log.
	const claimed, fenced, progress = `{"offset":0,"end":1}`, `{"offset":0,"end":1}`, `{"items":[],"end":1}`
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newAssured(ctx, &storeScript{after: 900 * time.Millisecond, answers: []string{claimed, fenced, progress}})
		claimSent := h.now()
		h.post(ctx, func(unit.Instant) {
			h.loaded = true
			h.claim(ctx)
		})
		time.Sleep(2750 * time.Millisecond)
		synctest.Wait()
		if h.owner == nil {
			t.Fatal("the host is not the owner")
		}
		if h.assured > claimSent {
			t.Errorf("assured as of %s after the claim was sent", h.assured.Sub(claimSent))
		}
		h.owner.cancel()
		cancel()
		synctest.Wait()
	})
}

// TestAgreesBeforeLoaded asks a host that hasn't read the jobs yet, such as one
// started just before a store outage, whether it agrees that another host is
// the owner.
//
// A host can become the owner only by reading its own claim, so this one has to
// agree. If it reports another owner instead, the owner withholds all leases
// until the outage is over.
func TestAgreesBeforeLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newAssured(ctx, &storeScript{})
		h.deciding.Store(true)
		body, err := ownerQueries.Encode(ownerQuery{Owner: "b#1"})
		if err != nil {
			t.Fatal(err)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, watchBase+"/", strings.NewReader(string(body)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := (watchTransport{h}).RoundTrip(req); err != nil {
			t.Errorf("the question was answered with an error: %v", err)
		}
		cancel()
		synctest.Wait()
	})
}

// TestAssuredAfterLostRead loses the answer to one read of the jobs while
// nothing is written, on an owner that gets no answers from other hosts.
//
// An assurance counts from the sending of a read and is valid for 3 s, so that
// a single lost read is harmless. The read before the lost read takes 0.5 s
// (ownerWait), the lost read 1.5 s until the client's timeout, and the read
// after a pause 0.5 s again.
func TestAssuredAfterLostRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		emptyPage := strings.Repeat("\x00", 16)
		h := newAssured(ctx, &storeScript{after: ownerWait, answers: []string{`{"items":[],"end":0}`, emptyPage, emptyPage, "", emptyPage, emptyPage}})
		h.metrics.owning.Store(true)
		go h.readJobs(ctx)
		maxAge := time.Duration(0)
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			age, _ := query(ctx, h, func(now unit.Instant) time.Duration {
				if !h.loaded {
					return 0
				}
				return now.Sub(h.assured)
			})
			maxAge = max(maxAge, age)
		}
		if maxAge > 3*time.Second {
			t.Errorf("the newest assurance was up to %s old", maxAge)
		}
		cancel()
		synctest.Wait()
	})
}
