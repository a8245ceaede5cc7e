package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// TestGatheredRecordWaits checks that the owner waits for the append of a
// forwarded record for as long as the forwarding host allows.
//
// The host already allows only a part of its client's time, 1 s. If the owner
// used only a part of that second in turn, 0.45 s, then calls would end with an
// unknown outcome although the store has their records in time: a slow store
// takes 0.15 s for an append, and the owner's process may stall for 0.3 s in
// between.
func TestGatheredRecordWaits(t *testing.T) {
	for _, c := range []struct {
		takes  time.Duration
		status int
	}{
		{300 * time.Millisecond, http.StatusOK},
		{600 * time.Millisecond, http.StatusOK},
		{850 * time.Millisecond, http.StatusOK},
		{2 * time.Second, http.StatusGatewayTimeout},
	} {
		t.Run(c.takes.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { forwardRecord(t, c.takes, c.status) })
		})
	}
}

// forwardRecord forwards one record to an owner whose store needs the given
// time for an append, and checks the answer, which must arrive before the
// call's timeout.
func forwardRecord(t *testing.T, takes time.Duration, status int) {
	h := &Host{health: newStoreHealth(zap.NewNop()), metrics: newMetrics(), log: zap.NewNop()}
	store := platform.NewStore("store", &http.Client{Transport: slowStore(takes)})
	h.writer = newWriter(store, h.health, "w", zap.NewNop(), h.metrics, 16*unit.MiB, newTestClock().Now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go h.writer.run(ctx)
	body, err := codec.New[forwardedRecord]().Encode(forwardedRecord{Key: "spec/first"})
	if err != nil {
		t.Fatal(err)
	}
	call, done := context.WithTimeout(ctx, unknownWait)
	defer done()
	req, err := http.NewRequestWithContext(call, http.MethodPost, recordsBase+"/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := recordsTransport{h}.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != status || call.Err() != nil {
		t.Errorf("status %d, want %d, %v", resp.StatusCode, status, call.Err())
	}
	time.Sleep(takes)
}

// slowStore is a store that needs the given time for each append.
type slowStore time.Duration

// RoundTrip implements http.RoundTripper.
func (s slowStore) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(s))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"offset":0,"end":1}`)), Header: http.Header{}, Request: req}, nil
}
