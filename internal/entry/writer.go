package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/tombstone"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

const (
	// maxPendingWrites limits the records that wait to be written. Further
	// calls are refused.
	maxPendingWrites = 1024
	// pendingShare is the part of the memory that these records may take, as a
	// divisor, and minPendingBytes the least that they may take.
	pendingShare    = 16
	minPendingBytes = 2 * unit.MiB
	// batchBytes limits the size of one append. The store takes 2 MB.
	batchBytes = 512 << 10
	// maxRefusedTries is how often at most an append is tried if the store
	// refuses it each time, before its records are reported as not written.
	maxRefusedTries = 3
	// refusedPause is the pause between these attempts. Unless the store is
	// slow, all attempts and the pauses between them fit into queueWait.
	refusedPause = 80 * time.Millisecond
	// maxRecordAge is how long after it was queued a record may still be sent. What is
	// sent later could reach the log after the tombstone that cancels it is dropped.
	maxRecordAge = tombstone.Retention / 2
)

// errNotWritten is the result for a record that certainly isn't in the store.
var errNotWritten = errors.New("entry: the record was not written")

// errOutdated is the result for a record that isn't sent any more, and that the store
// may have or not.
var errOutdated = errors.New("entry: the record has waited too long for the store")

// writer appends records of jobs, in batches of all that are queued.
type writer struct {
	store   *platform.Store
	log     *zap.Logger
	metrics *metrics
	health  *storeHealth
	// now is the time by a clock that doesn't stop while the machine is suspended.
	now   func() unit.Instant
	queue *ring.Ring[*pending]
	// queuedBytes is the size of the records in the queue, maxBytes its limit.
	queuedBytes atomic.Int64
	maxBytes    unit.Bytes
	id          platform.Writer
	// busySince is when the append in flight began, in nanoseconds since 1970;
	// 0 if there is none.
	busySince atomic.Int64
	// duration is how long the last append took, in nanoseconds; 0 if it
	// failed.
	duration atomic.Int64
}

// noteDuration records how long an append took.
func (w *writer) noteDuration(began time.Time, err error) {
	if err != nil {
		w.duration.Store(0)
		return
	}
	w.duration.Store(int64(time.Since(began)))
}

// lastDuration returns how long the last append took, or 0 if it failed.
func (w *writer) lastDuration() time.Duration { return time.Duration(w.duration.Load()) }

func newWriter(s *platform.Store, health *storeHealth, name string, log *zap.Logger, m *metrics, maxBytes unit.Bytes, now func() unit.Instant) *writer {
	return &writer{
		store: s, health: health, log: log, metrics: m, maxBytes: maxBytes, now: now,
		queue: ring.New[*pending](maxPendingWrites), id: platform.Writer{Name: name, Epoch: 1},
	}
}

// enqueue queues a record. It returns nil if the queue is full, in number or in
// bytes, or the store hangs.
func (w *writer) enqueue(r jobtable.Record) *pending {
	longest := max(queueWait, time.Duration(float64(w.lastDuration())*slowFactor))
	if since := w.busySince.Load(); since != 0 && time.Since(time.Unix(0, since)) > longest || w.health.hanging() {
		return nil
	}
	p := &pending{record: r, queuedAt: w.now(), done: make(chan error, 1)}
	if unit.Bytes(w.queuedBytes.Add(p.size())) > w.maxBytes || !w.queue.Offer(p) {
		w.queuedBytes.Add(-p.size())
		return nil
	}
	return p
}

// run appends until ctx is done. Only one append is in flight at a time, so
// that an append whose answer is lost can be repeated under the same sequence
// number.
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

// collect returns the first record and those queued behind it, up to
// batchBytes, as one batch. It leaves out the withdrawn ones.
func (w *writer) collect(first *pending) []*pending {
	var batch []*pending
	size := 0
	take := func(p *pending) {
		w.queuedBytes.Add(-p.size())
		if !p.state.CompareAndSwap(writeQueued, writeSent) {
			return
		}
		if w.outdated(p) {
			w.drop(p, errNotWritten)
			return
		}
		batch = append(batch, p)
		size += int(p.size())
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

// append writes a batch and reports the outcome to the calls that wait for its
// records.
func (w *writer) append(ctx context.Context, batch []*pending) {
	if len(batch) == 0 {
		return
	}
	w.id.Seq++
	w.busySince.Store(time.Now().UnixNano())
	defer w.busySince.Store(0)
	batch, err := w.persist(ctx, batch)
	for _, p := range batch {
		w.logLate(p, err)
		p.done <- err
	}
}

// sent counts an attempt for each record of a batch.
func (w *writer) sent(batch []*pending) {
	now := w.now()
	for _, p := range batch {
		p.tries++
		p.sentAt = now
	}
}

// logLate logs the outcome of a record whose call has ended without it, so that the
// log tells whether this host wrote the record, by which attempt and how long after
// the call.
func (w *writer) logLate(p *pending, err error) {
	ended := unit.Instant(p.endedAt.Load())
	if ended == 0 {
		return
	}
	now := w.now()
	w.log.Warn("write-outlived-call", zap.String("key", p.record.Key), zap.Bool("stored", err == nil), zap.Uint64("offset", uint64(p.end)),
		zap.Int("tries", p.tries), zap.Duration("last_try", now.Sub(p.sentAt)), zap.Duration("call_ended", now.Sub(ended)),
		zap.Duration("age", now.Sub(p.queuedAt)), zap.Error(err))
}

// persist repeats an append until its outcome is known. It returns the records
// that their calls have not withdrawn meanwhile. The error is errNotWritten
// only if it is certain that no attempt had an effect.
func (w *writer) persist(ctx context.Context, batch []*pending) ([]*pending, error) {
	var b backoff
	unknown := false
	for tries := 1; ctx.Err() == nil; tries++ {
		began, ended := time.Now(), w.health.begin()
		w.sent(batch)
		end, err := w.store.Append(ctx, platform.TopicJobs, recordsOf(batch), w.id)
		ended(err)
		w.noteDuration(began, err)
		w.metrics.storeCall("append", began, err)
		switch {
		case err == nil:
			for i, p := range batch {
				p.end = end - id.Offset(len(batch)-1-i)
			}
			return batch, nil
		case errors.Is(err, platform.ErrNotDone) && !unknown:
			if tries >= maxRefusedTries || w.health.refusing() {
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
			if batch = w.dropOutdated(batch); len(batch) == 0 {
				return nil, errOutdated
			}
		}
	}
	return batch, ctx.Err()
}

// outdated reports whether a record has waited too long to be sent.
func (w *writer) outdated(p *pending) bool { return w.now().Sub(p.queuedAt) > maxRecordAge }

// drop ends the write of a record without another attempt.
func (w *writer) drop(p *pending, err error) {
	w.log.Warn("write-dropped", zap.String("key", p.record.Key), zap.Int("tries", p.tries), zap.Duration("age", w.now().Sub(p.queuedAt)), zap.Error(err))
	p.done <- err
}

// dropOutdated returns the records of a batch that may still be sent. If that isn't
// all of them, they form a new append, under an epoch that keeps the store from
// carrying out the earlier one after them.
func (w *writer) dropOutdated(batch []*pending) []*pending {
	var rest []*pending
	for _, p := range batch {
		if w.outdated(p) {
			w.drop(p, errOutdated)
			continue
		}
		rest = append(rest, p)
	}
	if len(rest) < len(batch) {
		w.renumber()
		if len(rest) > 0 {
			w.id.Seq++
		}
	}
	return rest
}

// renumber continues under a new epoch. Its sequence numbers start from the
// beginning, so the writer need not know which of its earlier appends the store
// has counted. After the first append under the new epoch, the store refuses
// earlier appends that may still be in flight.
func (w *writer) renumber() { w.id.Epoch, w.id.Seq = w.id.Epoch+1, 0 }

// pauseRefused pauses after an attempt that the store has certainly refused. It
// returns the records to send again. Records with failFast set are refused at
// once, and calls can withdraw the others during the pause. The outcome of a
// call whose time ends during the pause is therefore a refusal, and not
// unknown.
func (w *writer) pauseRefused(ctx context.Context, batch []*pending) []*pending {
	var waiting, remaining []*pending
	for _, p := range batch {
		if p.failFast.Load() {
			p.done <- errNotWritten
			continue
		}
		p.state.Store(writeQueued)
		waiting = append(waiting, p)
	}
	if len(waiting) == 0 {
		return nil
	}
	pause(ctx, refusedPause)
	for _, p := range waiting {
		if p.state.CompareAndSwap(writeQueued, writeSent) {
			remaining = append(remaining, p)
		}
	}
	return remaining
}

// recordsOf returns the records of a batch.
func recordsOf(batch []*pending) []jobtable.Record {
	recs := make([]jobtable.Record, 0, len(batch))
	for _, p := range batch {
		recs = append(recs, p.record)
	}
	return recs
}
