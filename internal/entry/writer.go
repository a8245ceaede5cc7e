package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

const (
	// pendingWrites bounds the records that wait to be written; further calls are
	// refused.
	pendingWrites = 1024
	// batchBytes bounds one append; the store takes 2 MB.
	batchBytes = 512 << 10
	// refusedTries is how often an append that the store refused is repeated
	// before the records are given up as not written.
	refusedTries = 3
	// refusedPause is the pause between such tries. All of them and their pauses fit
	// into queueWait unless the store is slow.
	refusedPause = 80 * time.Millisecond
)

// errNotWritten reports a record that is surely not in the store.
var errNotWritten = errors.New("entry: the record was not written")

// writer appends records of jobs, as many at once as wait.
type writer struct {
	store   *platform.Store
	log     *zap.Logger
	metrics *metrics
	health  *storeHealth
	queue   *ring.Ring[*pending]
	id      platform.Writer
	// busySince is when the append that is under way began, in nanoseconds; 0 for
	// none.
	busySince atomic.Int64
	// took is how long the last append took, in nanoseconds; 0 if it failed.
	took atomic.Int64
}

// learn notes how long an append took.
func (w *writer) learn(began time.Time, err error) {
	if err != nil {
		w.took.Store(0)
		return
	}
	w.took.Store(int64(time.Since(began)))
}

// lastTook returns how long the last append took, or 0 if it failed.
func (w *writer) lastTook() time.Duration { return time.Duration(w.took.Load()) }

func newWriter(s *platform.Store, health *storeHealth, name string, log *zap.Logger, m *metrics) *writer {
	return &writer{store: s, health: health, log: log, metrics: m, queue: ring.New[*pending](pendingWrites), id: platform.Writer{Name: name, Epoch: 1}}
}

// add queues a record, or returns nil if too many wait or if the store hangs.
func (w *writer) add(r jobtable.Record) *pending {
	longest := max(queueWait, time.Duration(float64(w.lastTook())*slowFactor))
	if since := w.busySince.Load(); since != 0 && time.Since(time.Unix(0, since)) > longest || w.health.hanging() {
		return nil
	}
	p := &pending{record: r, done: make(chan error, 1)}
	if !w.queue.Offer(p) {
		return nil
	}
	return p
}

// run appends until ctx is done. One append is under way at a time, so that one whose
// answer is lost can be repeated under its number.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-w.queue.C():
			w.append(ctx, w.collect(p))
		}
	}
}

// collect takes what waits in one batch.
func (w *writer) collect(first *pending) []*pending {
	var batch []*pending
	size := 0
	take := func(p *pending) {
		if p.state.CompareAndSwap(writeQueued, writeSent) {
			batch = append(batch, p)
			size += len(p.record.Key) + len(p.record.Value)
		}
	}
	take(first)
	for size < batchBytes {
		select {
		case p := <-w.queue.C():
			take(p)
		default:
			return batch
		}
	}
	return batch
}

// append writes a batch and tells those who wait for its records what became of it.
func (w *writer) append(ctx context.Context, batch []*pending) {
	if len(batch) == 0 {
		return
	}
	w.id.Seq++
	w.busySince.Store(time.Now().UnixNano())
	defer w.busySince.Store(0)
	batch, err := w.persist(ctx, batch)
	for _, p := range batch {
		p.done <- err
	}
}

// persist appends until the outcome is known. It returns the records that were not withdrawn
// meanwhile, and errNotWritten only if every try was surely without effect.
func (w *writer) persist(ctx context.Context, batch []*pending) ([]*pending, error) {
	var b backoff
	unknown := false
	for tries := 1; ctx.Err() == nil; tries++ {
		began, ended := time.Now(), w.health.begin()
		_, err := w.store.Append(ctx, platform.TopicJobs, recordsOf(batch), w.id)
		ended(err)
		w.learn(began, err)
		w.metrics.storeCall("append", began, err)
		switch {
		case err == nil:
			return batch, nil
		case errors.Is(err, platform.ErrNotDone) && !unknown:
			if tries >= refusedTries || w.health.refusing() {
				w.renumber()
				w.log.Warn("write-refused", zap.Int("records", len(batch)), zap.Error(err))
				return batch, errNotWritten
			}
			if batch = w.pauseRefused(ctx, batch); len(batch) == 0 {
				w.renumber()
				return nil, errNotWritten
			}
		case errors.Is(err, platform.ErrSequence), errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrInvalid):
			w.renumber()
			w.log.Error("write-failed", zap.Int("records", len(batch)), zap.Error(err))
			return batch, err
		default:
			unknown = true
			b.wait(ctx, began)
		}
	}
	return batch, ctx.Err()
}

// renumber goes on under a new epoch: whatever the store has counted, the numbers begin anew, and
// it refuses for good what was sent before and may still be on its way.
func (w *writer) renumber() { w.id.Epoch, w.id.Seq = w.id.Epoch+1, 0 }

// pauseRefused pauses after a try that the store has surely refused, and returns the records that
// were not withdrawn meanwhile: a call whose time ends then is refused, not unknown.
func (w *writer) pauseRefused(ctx context.Context, batch []*pending) []*pending {
	var patient, rest []*pending
	for _, p := range batch {
		if p.hurried.Load() {
			p.done <- errNotWritten
			continue
		}
		p.state.Store(writeQueued)
		patient = append(patient, p)
	}
	if len(patient) == 0 {
		return nil
	}
	pause(ctx, refusedPause)
	for _, p := range patient {
		if p.state.CompareAndSwap(writeQueued, writeSent) {
			rest = append(rest, p)
		}
	}
	return rest
}

// recordsOf returns the records of a batch.
func recordsOf(batch []*pending) []jobtable.Record {
	recs := make([]jobtable.Record, 0, len(batch))
	for _, p := range batch {
		recs = append(recs, p.record)
	}
	return recs
}
