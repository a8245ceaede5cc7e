package entry

import (
	"context"
	"errors"
	"hash/maphash"
	"maps"
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// ownerWriter is the name under which owners write; their epochs tell them apart. firstSeq is the number of an owner's first append to each log,
// its claim.
const (
	ownerWriter = "owner"
	firstSeq    = 1
)

// ownerLog is a log of the store that the owner writes.
type ownerLog struct {
	topic platform.Topic
	// seq is the number of the last append under the owner's epoch.
	seq uint64
}

// writer identifies the append of a number.
func (l ownerLog) writer(e id.Epoch, seq uint64) platform.Writer {
	return platform.Writer{Name: ownerWriter, Epoch: e, Seq: seq}
}

// owner is a host's part as the owner of scheduling. It belongs to the deciding
// goroutine, which also calls it with the results of orders.
type owner struct {
	host  *Host
	epoch id.Epoch
	core  *dispatch.Dispatcher
	// cancel ends what the owner does in other goroutines; orders that wait are dropped.
	cancel context.CancelFunc
	// boxes hold the orders to workers that wait for their turn.
	boxes outboxes
	// jobs is the log that every host follows, progress the one for the next owner.
	jobs, progress ownerLog
	// writing is set while an append is under way.
	writing bool
	// rules say which orders to start may still leave.
	rules atomic.Pointer[dispatch.StartRules]
	// reports wait to be written for the operator.
	reports *ring.Ring[dispatch.WaveReport]
	// listed holds the lives of workers in the platform's list, one under each name.
	listed map[id.WorkerName]id.Worker
	// rejected holds the entries of that list that were left out, by a digest of what was last written.
	rejected map[id.WorkerName]uint64
}

// learn takes in what the table says of a job.
func (o *owner) learn(now unit.Instant, j id.Job) {
	e := o.host.table.Get(j)
	if e == nil || e.Spec == nil {
		return
	}
	o.core.AddJob(now, j, e)
	if e.Cancelled {
		o.core.CancelJob(now, j)
	}
}

// configure takes in the guarantees of a configuration.
func (o *owner) configure(c *catalog.Catalog) {
	for _, cust := range c.Customers {
		o.core.Guarantee(cust.Name, cust.Guaranteed)
	}
}

// listAll takes in the whole list of workers.
func (o *owner) listAll(now unit.Instant, recs []jobtable.Record) {
	there := map[id.WorkerName]bool{}
	for _, r := range recs {
		there[id.WorkerName(r.Key)] = len(r.Value) > 0
	}
	for w := range o.listed {
		if !there[w] {
			o.unlist(now, w)
		}
	}
	maps.DeleteFunc(o.rejected, func(w id.WorkerName, _ uint64) bool { return !there[w] })
	o.list(now, recs)
}

// list takes in changed entries of the list of workers.
func (o *owner) list(now unit.Instant, recs []jobtable.Record) {
	for _, r := range recs {
		name := id.WorkerName(r.Key)
		if len(r.Value) == 0 {
			delete(o.rejected, name)
			o.unlist(now, name)
			continue
		}
		l, err := platform.DecodeListing(r.Key, r.Value)
		if err != nil {
			o.reject(now, r, err)
			continue
		}
		delete(o.rejected, name)
		if before, known := o.listed[name]; known && before != l.ID {
			o.core.Unlist(now, before) // whether it is over, answers tell
		}
		o.listed[name] = l.ID
		o.core.List(now, l)
	}
}

// digestSeed is that of all digests of rejected entries of this process.
var digestSeed = maphash.MakeSeed()

// reject takes in an entry of the list of workers that isn't a worker's own: the worker of that name gets no tasks until it has written its
// entry again. What runs there goes on by its answers and leases. Each such entry is told once, however often it is read.
func (o *owner) reject(now unit.Instant, r jobtable.Record, err error) {
	name := id.WorkerName(r.Key)
	o.unlist(now, name)
	digest := maphash.Bytes(digestSeed, r.Value)
	if old, known := o.rejected[name]; known && old == digest {
		return
	}
	o.rejected[name] = digest
	o.host.metrics.rejected.Inc()
	o.host.log.Error("listing-rejected", zap.String("worker", r.Key), zap.Error(err))
}

// unlist takes in that the list has no entry of a worker any more.
func (o *owner) unlist(now unit.Instant, name id.WorkerName) {
	life, known := o.listed[name]
	if !known {
		return
	}
	delete(o.listed, name)
	o.core.Unlist(now, life)
}

// pass decides what is due and hands out what follows.
func (o *owner) pass(ctx context.Context, now unit.Instant) {
	o.core.SetAdvisers(o.host.advicePath.Ways())
	o.core.Assure(o.host.assured)
	o.core.Pass(now, unit.At(time.Now()))
	o.flush(ctx)
	o.handOut(ctx)
	o.host.metrics.inPlace.Store(int64(o.core.InPlace()))
	o.tell()
	if o.core.Fenced() {
		o.host.stepDown("a worker has seen a later epoch")
	}
}

// flush writes what must be in the store before more can be done.
func (o *owner) flush(ctx context.Context) {
	if o.writing || o.host.stopping.Load() {
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
	o.writing = true
	appends := []func() written{o.append(ctx, &o.progress, b.Progress), o.append(ctx, &o.jobs, b.Jobs)}
	go func() {
		w := writeAll(appends)
		o.host.post(ctx, func(now unit.Instant) { o.flushed(ctx, now, b, w) })
	}()
}

// written is what became of appends: when the oldest of the tries that were answered left, and the first error.
type written struct {
	left unit.Instant
	err  error
}

// writeAll makes appends to different logs at the same time.
func writeAll(appends []func() written) written {
	out := make(chan written, len(appends))
	for _, do := range appends {
		go func() { out <- do() }()
	}
	all := written{left: math.MaxInt64}
	for range appends {
		w := <-out
		all.left = min(all.left, w.left)
		if all.err == nil {
			all.err = w.err
		}
	}
	return all
}

// append numbers an append to a log and returns what makes it. Nothing is appended where there are no records.
func (o *owner) append(ctx context.Context, l *ownerLog, recs []jobtable.Record) func() written {
	if len(recs) == 0 {
		return func() written { return written{left: math.MaxInt64} }
	}
	l.seq++
	topic, w := l.topic, l.writer(o.epoch, l.seq)
	return func() written {
		left, err := o.persist(ctx, topic, recs, w)
		return written{left: left, err: err}
	}
}

// persist repeats an append until it is done, or until this host is not the owner any
// more. It returns when the last try left.
func (o *owner) persist(ctx context.Context, topic platform.Topic, recs []jobtable.Record, w platform.Writer) (unit.Instant, error) {
	var bk backoff
	dep := dependency{log: o.host.log, name: "store append " + string(topic)}
	for ctx.Err() == nil {
		began, left := time.Now(), o.host.now()
		_, err := o.host.store.Append(ctx, topic, recs, w)
		o.host.metrics.storeCall("append", began, err)
		dep.note(err)
		if settled(err) {
			return left, err
		}
		bk.wait(ctx, began)
	}
	return 0, ctx.Err()
}

// settled reports whether an append was done, or can't be done by repeating it.
func settled(err error) bool {
	return err == nil || errors.Is(err, platform.ErrFenced) || errors.Is(err, platform.ErrSequence) || errors.Is(err, platform.ErrInvalid)
}

// flushed takes in what became of an append of flush. One that can't be repeated ends the
// ownership: the records may lack what the next decisions rest on.
func (o *owner) flushed(ctx context.Context, now unit.Instant, b dispatch.Batch, w written) {
	o.writing = false
	if o.host.owner != o {
		return
	}
	if w.err != nil {
		o.host.stepDown(w.err.Error())
		return
	}
	o.host.assure(w.left) // a later claim would have fenced the append
	o.core.Assure(o.host.assured)
	o.core.Committed(now, b)
	o.handOut(ctx)
	o.flush(ctx)
}
