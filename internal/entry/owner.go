package entry

import (
	"context"
	"errors"
	"hash/maphash"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// ownerWriter is the writer name that all owners use; their epochs distinguish
// them. firstSeq is the sequence number of an owner's first append to each log,
// its claim.
const (
	ownerWriter = "owner"
	firstSeq    = 1
)

// ownerLog is a log in the store that the owner writes.
type ownerLog struct {
	topic platform.Topic
	// seq is the sequence number of the last append under the owner's epoch.
	seq uint64
}

// writer returns the writer's name, the epoch and the sequence number, by which
// the store identifies an append.
func (l ownerLog) writer(e id.Epoch, seq uint64) platform.Writer {
	return platform.Writer{Name: ownerWriter, Epoch: e, Seq: seq}
}

// owner is the state of a host that owns the scheduling. Only the deciding
// goroutine may use it; the results of orders reach it through that goroutine
// too.
type owner struct {
	host  *Host
	epoch id.Epoch
	core  *dispatch.Dispatcher
	// cancel stops the owner's other goroutines and drops queued orders.
	cancel context.CancelFunc
	// boxes hold the queued orders to workers.
	boxes outboxes
	// jobs is the log that every host follows. progress is the log with the
	// other records that the next owner needs.
	jobs, progress ownerLog
	// lastCandidate is the newest record of the last candidate that this owner
	// has written, at lastCandidateAt and with the sequence number
	// lastCandidateSeq.
	lastCandidate    election.Member
	lastCandidateAt  unit.Instant
	lastCandidateSeq uint64
	// appendInFlight is set while an append is in flight, which began at
	// appendBeganAt.
	appendInFlight bool
	appendBeganAt  unit.Instant
	// startRules determine which start orders may still be sent.
	startRules atomic.Pointer[dispatch.StartRules]
	// reports are queued to be written for the operator.
	reports *ring.Ring[dispatch.WaveReport]
	// listed holds the incarnation of each worker in the platform's list, by
	// the worker's name.
	listed map[id.WorkerName]id.Worker
	// rejected holds the workers whose entry in that list is rejected, with a
	// digest of the rejected value.
	rejected map[id.WorkerName]uint64
	// rejectedLines bounds the lines about such entries. unlogged counts those that
	// were left out since the last one; nil before the first.
	rejectedLines *rate.Limiter
	unlogged      int
}

// updateJob updates a job in the dispatcher from the table.
func (o *owner) updateJob(now unit.Instant, j id.Job) {
	e := o.host.table.Get(j)
	if e == nil || e.Spec == nil {
		return
	}
	o.core.AddJob(now, j, e)
	if e.Cancelled {
		o.core.CancelJob(now, j)
	}
}

// configure applies the guarantees of a configuration.
func (o *owner) configure(c *catalog.Catalog) {
	for _, cust := range c.Customers {
		o.core.SetGuarantee(cust.Name, cust.Guaranteed)
	}
}

// replaceListings replaces the list of workers.
func (o *owner) replaceListings(now unit.Instant, recs []jobtable.Record) {
	present := map[id.WorkerName]bool{}
	for _, r := range recs {
		present[id.WorkerName(r.Key)] = len(r.Value) > 0
	}
	for w := range o.listed {
		if !present[w] {
			o.unlist(now, w)
		}
	}
	maps.DeleteFunc(o.rejected, func(w id.WorkerName, _ uint64) bool { return !present[w] })
	o.updateListings(now, recs, o.core.LoadListing)
}

// updateListings applies entries of the list of workers. list passes an entry to
// the dispatcher.
func (o *owner) updateListings(now unit.Instant, recs []jobtable.Record, list func(unit.Instant, fleet.Listing)) {
	for _, r := range recs {
		name := id.WorkerName(r.Key)
		if len(r.Value) == 0 {
			delete(o.rejected, name)
			o.unlist(now, name)
			continue
		}
		l, err := platform.DecodeListing(r.Key, r.Value)
		if err != nil {
			o.rejectListing(now, r, err)
			continue
		}
		delete(o.rejected, name)
		if previous, known := o.listed[name]; known && previous != l.ID {
			o.core.Unlist(now, previous) // its answers show whether that incarnation has ended
		}
		o.listed[name] = l.ID
		list(now, l)
	}
}

// digestSeed is the seed for all digests of rejected entries in this process.
var digestSeed = maphash.MakeSeed()

// rejectedLineBurst is how many lines about rejected entries may be logged at once.
// After that it is one a second. Another program may rewrite its entries all the time.
const rejectedLineBurst = 20

// rejectListing handles an invalid entry of the list of workers: the worker of
// that name gets no tasks until it writes a valid one. The worker's answers and
// leases still decide about the runs on it. An entry is logged once, however
// often it is read.
func (o *owner) rejectListing(now unit.Instant, r jobtable.Record, err error) {
	name := id.WorkerName(r.Key)
	o.unlist(now, name)
	digest := maphash.Bytes(digestSeed, r.Value)
	if old, known := o.rejected[name]; known && old == digest {
		return
	}
	o.rejected[name] = digest
	o.host.metrics.rejectedListings.Inc()
	if o.rejectedLines == nil {
		o.rejectedLines = rate.NewLimiter(rate.Every(time.Second), rejectedLineBurst)
	}
	if !o.rejectedLines.Allow() {
		o.unlogged++
		return
	}
	o.host.log.Error("listing-rejected", zap.String("worker", r.Key), zap.String("error", truncate(err.Error(), maxReason)), zap.Int("unlogged", o.unlogged))
	o.unlogged = 0
}

// unlist handles the removal of a worker's entry from the list.
func (o *owner) unlist(now unit.Instant, name id.WorkerName) {
	incarnation, known := o.listed[name]
	if !known {
		return
	}
	delete(o.listed, name)
	o.core.Unlist(now, incarnation)
}

// confirmList records that all changes of the list are applied that a read
// returned which was sent at the given time and came to the list's end. While other
// calls still fail, the read may be the first that a new outage lets through, which
// shows no worker to have ended.
func (o *owner) confirmList(now, sentAt unit.Instant) {
	if o.host.outages.Failing() {
		return
	}
	o.core.ConfirmList(now, dispatch.ListRead{AsOf: sentAt, Unreadable: slices.Sorted(maps.Keys(o.rejected))})
}

// noteOutage passes to the dispatcher the latest outage of the store that this host
// has seen, and the latest one that a host has recorded if this host has begun only
// lately.
func (o *owner) noteOutage(now unit.Instant) {
	if began, ended := o.host.outages.Latest(); ended != 0 {
		o.core.NoteOutage(began, ended)
	}
	if now.Sub(o.host.outages.Since()) <= lateStart {
		o.core.InheritOutage(now, unit.At(time.Now()), o.host.table.Outage())
	}
}

// pass runs one scheduling pass and sends the resulting orders.
func (o *owner) pass(ctx context.Context, now unit.Instant) {
	o.core.SetAdvisers(o.host.advicePath.PathCount())
	o.confirmReads()
	o.noteOutage(now)
	if err := o.core.ExpireTombstones(now, unit.At(time.Now()), o.host.table); err != nil {
		o.host.log.Error("flush-failed", zap.Error(err))
	}
	o.core.Pass(now, unit.At(time.Now()))
	o.flush(ctx)
	o.sendOrders(ctx)
	o.host.metrics.placedRuns.Store(int64(o.core.PlacedRuns()))
	o.host.metrics.setSpeedClasses(o.core.SpeedClasses())
	o.logDecisions()
	if o.core.Fenced() {
		o.host.stepDown("a worker has seen a later epoch")
	}
}

// flush appends the records that the store must hold before the decisions in
// them take effect.
func (o *owner) flush(ctx context.Context) {
	if o.appendInFlight || o.host.stopping.Load() {
		return
	}
	b, some, err := o.core.Flush()
	if err != nil {
		o.host.log.Error("flush-failed", zap.Error(err))
		return
	}
	if !some {
		return
	}
	if b.Empty() {
		o.core.Committed(o.host.now(), b)
		return
	}
	o.appendInFlight, o.appendBeganAt = true, o.host.now()
	appends := []func() appendResult{o.append(ctx, &o.progress, b.Progress), o.append(ctx, &o.jobs, b.Jobs)}
	go func() {
		w := writeAll(appends)
		o.host.post(ctx, func(now unit.Instant) { o.flushed(ctx, now, b, w) })
	}()
}

// appendResult is the result of one or more appends: when the oldest of the
// answered attempts was sent, and the first error.
type appendResult struct {
	sent unit.Instant
	err  error
}

// writeAll makes appends to different logs concurrently.
func writeAll(appends []func() appendResult) appendResult {
	out := make(chan appendResult, len(appends))
	for _, do := range appends {
		go func() { out <- do() }()
	}
	all := appendResult{sent: math.MaxInt64}
	for range appends {
		w := <-out
		all.sent = min(all.sent, w.sent)
		if all.err == nil {
			all.err = w.err
		}
	}
	return all
}

// append assigns the sequence number of an append to a log and returns the
// function that makes it. Without records, that function does nothing and returns
// the greatest time as sent, because writeAll takes the minimum of these times.
func (o *owner) append(ctx context.Context, l *ownerLog, recs []jobtable.Record) func() appendResult {
	if len(recs) == 0 {
		return func() appendResult { return appendResult{sent: math.MaxInt64} }
	}
	l.seq++
	topic, w := l.topic, l.writer(o.epoch, l.seq)
	return func() appendResult {
		sent, err := o.persist(ctx, topic, recs, w)
		return appendResult{sent: sent, err: err}
	}
}

// persist repeats an append until it succeeds, can't succeed any more, or this
// host is no longer the owner. It returns the time at which the last attempt was
// sent, or 0 if ctx is done first.
func (o *owner) persist(ctx context.Context, topic platform.Topic, recs []jobtable.Record, w platform.Writer) (unit.Instant, error) {
	var bk backoff
	dep := dependency{log: o.host.log, name: "store append " + string(topic)}
	for ctx.Err() == nil {
		began, sent := time.Now(), o.host.now()
		_, err := o.host.store.Append(ctx, topic, recs, w)
		o.host.metrics.storeCall("append", began, err)
		dep.note(err)
		if appendSettled(err) {
			return sent, err
		}
		bk.wait(ctx, began)
	}
	return 0, ctx.Err()
}

// appendSettled reports whether an append has succeeded, or failed so that a
// retry can't succeed.
func appendSettled(err error) bool {
	return err == nil || errors.Is(err, platform.ErrFenced) || errors.Is(err, platform.ErrSequence) || errors.Is(err, platform.ErrInvalid)
}

// flushed handles the result of the appends of flush. A permanent failure ends
// the ownership: the records that the next decisions rely on may be missing.
func (o *owner) flushed(ctx context.Context, now unit.Instant, b dispatch.Batch, w appendResult) {
	o.appendInFlight = false
	if o.host.owner != o {
		return
	}
	if w.err != nil {
		o.host.stepDown(w.err.Error())
		return
	}
	o.host.assure(w.sent) // if another host had claimed later, the append would have been fenced
	o.confirmReads()
	o.core.Committed(now, b)
	o.sendOrders(ctx)
	o.flush(ctx)
}
