package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/internal/relay"
)

// While the store is slow, hosts forward their records to the owner, which
// appends all queued records at once. The store handles the appends to a topic
// one after the other: at 60 times its usual latency it completes three a
// second, so dozens of hosts that append their own records would time out.

// recordsBase is the URL of a host's own writer on the relay path.
const recordsBase = "http://records"

// recordCodec encodes the records that hosts forward to the owner.
var recordCodec = codec.New[forwardedRecord]()

// forwardedRecord is a record that a host forwards to the owner.
type forwardedRecord struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// putByOwner writes a record to the store through the owner. It reports false
// if forwarding doesn't apply, or nothing was sent.
func (h *Host) putByOwner(ctx context.Context, rec jobtable.Record) (written, bool) {
	address := h.forwardAddress.Load()
	if address == nil || !h.health.slow() || h.health.hanging() {
		return written{outcome: notStored}, false
	}
	message, err := recordCodec.Encode(forwardedRecord{Key: rec.Key, Value: rec.Value})
	if err != nil {
		h.log.Error("record-not-encoded", zap.String("key", rec.Key), zap.Error(err))
		return written{outcome: notStored}, false
	}
	_, limit := h.recordWaits(ctx, callerShares)
	status, body, err := h.recordsPath.CallPeer(ctx, *address, relay.Request{Method: http.MethodPost, Path: "/", Body: message, Timeout: limit})
	switch {
	case errors.Is(err, relay.ErrNoPeer):
		return written{outcome: notStored}, false
	case err != nil:
		return written{outcome: unknownOutcome, why: "the owner has not answered in time"}, true
	case status == http.StatusOK:
		return written{outcome: stored, why: ", by the owner", end: decodeEnd(body)}, true
	case status == http.StatusServiceUnavailable:
		return written{outcome: notStored, why: "the owner says: " + string(body)}, true
	}
	return written{outcome: unknownOutcome, why: "the owner says: " + string(body)}, true
}

// recordsTransport passes records from other hosts to this host's writer.
type recordsTransport struct{ host *Host }

// decodeEnd returns the offset after a record that the owner has stored, or 0 if
// the owner's answer has none.
func decodeEnd(body []byte) id.Offset {
	end, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		return 0
	}
	return id.Offset(end)
}

// RoundTrip implements http.RoundTripper. The response has the status with
// which a client's request would be answered, and as its body the offset after
// the stored record, or why it isn't stored.
func (t recordsTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	rec, err := recordCodec.Decode(body)
	if err != nil {
		t.host.log.Warn("gathered-record-rejected", zap.Error(err))
		return relay.NewResponse(req, http.StatusBadRequest, []byte("not a record")), nil
	}
	t.host.metrics.gatheredRecords.Inc()
	got := t.host.append(req.Context(), jobtable.Record{Key: rec.Key, Value: rec.Value}, forwardedShares)
	answer := got.why
	if got.outcome == stored {
		answer = strconv.FormatUint(uint64(got.end), 10)
	}
	return relay.NewResponse(req, got.outcome.status(), []byte(answer)), nil
}

// status returns the HTTP status for an outcome.
func (o outcome) status() int {
	switch o {
	case stored:
		return http.StatusOK
	case notStored:
		return http.StatusServiceUnavailable
	case unknownOutcome:
	}
	return http.StatusGatewayTimeout
}

// updateForwardAddress sets the address at which the owner accepts records, or
// none if this host is the owner. Only the deciding goroutine may call it.
func (h *Host) updateForwardAddress() {
	address, ok := h.peerAddresses[h.recordGatherer()]
	if !ok || h.owner != nil {
		h.forwardAddress.Store(nil)
		return
	}
	h.forwardAddress.Store(&address)
}

// recordGatherer returns the host to which this host forwards records. A host
// that doesn't follow the jobs doesn't know the owner, and takes the host that
// would claim first. Only the deciding goroutine may call it.
func (h *Host) recordGatherer() id.Host {
	if h.loaded {
		return h.table.Owner().Host
	}
	if first, ok := h.election.First(); ok && first != h.self {
		return first
	}
	return ""
}
