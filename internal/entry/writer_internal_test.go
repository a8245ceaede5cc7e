package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// fixedStore is a store without a network that answers each call at once and
// in the same way.
type fixedStore struct {
	status int
	body   string
	// silent makes calls hang until the caller gives up.
	silent bool
	// mu guards sent, the number of calls.
	mu   sync.Mutex
	sent int
}

// tries returns the number of calls so far.
func (s *fixedStore) tries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// RoundTrip implements http.RoundTripper.
func (s *fixedStore) RoundTrip(req *http.Request) (*http.Response, error) {
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	if s.silent {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	return &http.Response{StatusCode: s.status, Body: io.NopCloser(strings.NewReader(s.body)), Header: http.Header{}, Request: req}, nil
}

// TestStoreRefusals checks the answer to a call whose time ends: refused only
// if its record isn't in the store and never will be, and unknown only if the
// record may be there.
func TestStoreRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer *fixedStore
		time   time.Duration
		status int
	}{
		{"time ends between two refused tries", &fixedStore{status: http.StatusServiceUnavailable}, refusedPause / 2, http.StatusServiceUnavailable},
		{"refused early because little time is left", &fixedStore{status: http.StatusServiceUnavailable}, 3 * refusedPause, http.StatusServiceUnavailable},
		{"all tries are refused", &fixedStore{status: http.StatusServiceUnavailable}, time.Second, http.StatusServiceUnavailable},
		{"time ends while a try hangs", &fixedStore{silent: true}, refusedPause / 2, http.StatusGatewayTimeout},
		{"stored in time", &fixedStore{status: http.StatusOK, body: `{"offset":0,"end":1}`}, time.Second, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := c.answer
				h := &Host{health: newStoreHealth(zap.NewNop())}
				client := platform.NewStore("store", &http.Client{Transport: store})
				h.writer = newWriter(client, h.health, "w", zap.NewNop(), newMetrics(), 16*unit.MiB, newTestClock().Now)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go h.writer.run(ctx)
				f := &clientHandler{host: h}
				call, done := context.WithTimeout(ctx, c.time)
				defer done()
				got := f.store(call, jobtable.Record{Key: "spec/first"}, "accepted")
				if got.status != c.status {
					t.Errorf("status %d (%s), want %d", got.status, got.why, c.status)
				}
				tries := store.tries()
				time.Sleep(time.Second)
				if c.status == http.StatusServiceUnavailable && store.tries() > tries {
					t.Errorf("the record was sent %d times after the refusal", store.tries()-tries)
				}
			})
		})
	}
}

// TestStoredRecordsTellTheirOffset checks the offset that the log gives for each
// of two records that were stored together, by the host or by the owner for it. By
// this offset one sees whether the table behind an answer had the record.
func TestStoredRecordsTellTheirOffset(t *testing.T) {
	h := &Host{health: newStoreHealth(zap.NewNop()), metrics: newMetrics(), log: zap.NewNop()}
	store := &fixedStore{status: http.StatusOK, body: `{"offset":7,"end":9}`}
	h.writer = newWriter(platform.NewStore("store", &http.Client{Transport: store}), h.health, "w", zap.NewNop(), h.metrics, 16*unit.MiB, newTestClock().Now)
	first, second := h.writer.enqueue(jobtable.Record{Key: "spec/a"}), h.writer.enqueue(jobtable.Record{Key: "spec/b"})
	go h.writer.run(t.Context())
	if got := first.result(<-first.done); got != (written{outcome: stored, end: 8}) {
		t.Errorf("the first record: %+v", got)
	}
	if got := second.result(<-second.done); got != (written{outcome: stored, end: 9}) {
		t.Errorf("the second record: %+v", got)
	}
	body, err := recordCodec.Encode(forwardedRecord{Key: "spec/c"})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := recordsTransport{h}.RoundTrip(httptest.NewRequest(http.MethodPost, recordsBase+"/", bytes.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil || decodeEnd(answer) != 9 {
		t.Errorf("the owner answers %q, %v", answer, err)
	}
	if got := decodeEnd(nil); got != 0 {
		t.Errorf("an owner that tells no offset: %d", got)
	}
}

// TestQueuedRecordsAreBounded guards against records that wait for a slow store and
// together take more memory than they may: their number alone allows 256 MiB.
func TestQueuedRecordsAreBounded(t *testing.T) {
	const limit = 4 * unit.MiB
	w := newWriter(nil, newStoreHealth(zap.NewNop()), "w", zap.NewNop(), newMetrics(), limit, newTestClock().Now)
	large := jobtable.Record{Key: "spec/a", Value: make([]byte, 256<<10)}
	queued := 0
	for w.enqueue(large) != nil {
		queued++
	}
	if queued != int(limit)/(len(large.Value)+len(large.Key)) {
		t.Errorf("%d records of 256 KiB are queued, the limit is %d bytes", queued, limit)
	}
	if w.enqueue(jobtable.Record{Key: "spec/b", Value: make([]byte, 1000)}) == nil {
		t.Error("a small record finds no room beside large ones")
	}
	for len(w.queue.C()) > 0 {
		w.collect(<-w.queue.C())
	}
	if got := w.queuedBytes.Load(); got != 0 {
		t.Errorf("%d bytes count as queued after all records were taken", got)
	}
}
