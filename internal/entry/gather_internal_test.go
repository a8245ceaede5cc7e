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
	"curlewsill.org/curlewsill/platform"
)

// TestGatheredRecordWaits checks that the owner waits for a record of another host for the time that this host has left it.
//
// Symptom: calls ended unknown while the store was slow, though their records got there in time. Sequence: a host hands a record to the owner with
// 1 s, the part of its client's time that it may spend; the store takes 0.15 s an append, and the owner's process stands still for 0.3 s. Cause: the
// owner took the same part of that second once more, 0.45 s. Settled by: "the owner says: the store has not answered in time", 0.45 s after the call
// was made again.
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
			synctest.Test(t, func(t *testing.T) { handOver(t, c.takes, c.status) })
		})
	}
}

// handOver hands one record to an owner whose store takes a time for an append, and checks its answer, which must come before the call's time is over.
func handOver(t *testing.T, takes time.Duration, status int) {
	h := &Host{health: newStoreHealth(zap.NewNop()), metrics: newMetrics(), log: zap.NewNop()}
	h.writer = newWriter(platform.NewStore("store", &http.Client{Transport: slowStore(takes)}), h.health, "w", zap.NewNop(), h.metrics)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go h.writer.run(ctx)
	body, err := codec.New[gathered]().Encode(gathered{Key: "spec/first"})
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

// slowStore takes so long for each append.
type slowStore time.Duration

// RoundTrip implements http.RoundTripper.
func (s slowStore) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(s))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"offset":0,"end":1}`)), Header: http.Header{}, Request: req}, nil
}
