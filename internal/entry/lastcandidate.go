package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

const (
	// lastCandidateKey is the key of the record that names the last host that is
	// to be a candidate. Owners write it, under the writer lastCandidateWriter.
	lastCandidateKey    = "last-candidate"
	lastCandidateWriter = "hosts"
	// lastCandidateInterval is the minimum time between two such records of an
	// owner. While hosts fail and return, the last candidate changes often.
	lastCandidateInterval = 10 * time.Second
)

// lastCandidate is the record in its encoded form.
type lastCandidate struct {
	_       struct{} `cbor:",toarray"`
	Host    id.Host
	Ability int
}

var lastCandidates = codec.New[lastCandidate]()

// beginRole determines the role with which this host begins, from the owner's
// record.
func (h *Host) beginRole(ctx context.Context) {
	var b backoff
	dep := dependency{log: h.log, name: "store " + string(platform.TopicHosts)}
	for ctx.Err() == nil {
		began := time.Now()
		last, known, err := h.readLastCandidate(ctx)
		dep.note(err)
		if err == nil {
			h.post(ctx, func(now unit.Instant) {
				h.candidacy.Begin(last, known)
				h.updateRole(now)
			})
			return
		}
		b.wait(ctx, began)
	}
}

// readLastCandidate reads the owner's record. It reports false if there is none.
// A record that can't be decoded counts as none.
func (h *Host) readLastCandidate(ctx context.Context) (election.Member, bool, error) {
	recs, _, err := newSnapshot(h.store, platform.TopicHosts).read(ctx)
	if err != nil {
		return election.Member{}, false, err
	}
	for _, r := range recs {
		if r.Key != lastCandidateKey {
			continue
		}
		last, err := lastCandidates.Decode(r.Value)
		if err != nil {
			h.log.Error("record-rejected", zap.String("topic", string(platform.TopicHosts)), zap.Error(err))
			continue
		}
		return election.Member{Host: last.Host, Ability: last.Ability}, true, nil
	}
	return election.Member{}, false, nil
}

// recordLastCandidate writes the record if this host is the owner and the last
// candidate has changed. Only the deciding goroutine may call it.
func (h *Host) recordLastCandidate(ctx context.Context, now unit.Instant) {
	o := h.owner
	last, ok := h.candidacy.Last()
	if o == nil || !ok || last == o.lastCandidate || now.Sub(o.lastCandidateAt) < lastCandidateInterval {
		return
	}
	value, err := lastCandidates.Encode(lastCandidate{Host: last.Host, Ability: last.Ability})
	if err != nil {
		h.log.Error("record-not-encoded", zap.String("key", lastCandidateKey), zap.Error(err))
		return
	}
	o.lastCandidate, o.lastCandidateAt = last, now
	o.lastCandidateSeq++
	w := platform.Writer{Name: lastCandidateWriter, Epoch: o.epoch, Seq: o.lastCandidateSeq}
	go func() {
		_, err := o.persist(ctx, platform.TopicHosts, []jobtable.Record{{Key: lastCandidateKey, Value: value}}, w)
		h.log.Info("last-candidate", zap.String("host", string(last.Host)), zap.Int("ability", last.Ability), zap.Error(err))
	}()
}
