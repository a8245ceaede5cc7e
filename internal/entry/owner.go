package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// ownerWriter is the name under which owners write; their epochs tell them apart.
const ownerWriter = "owner"

// owner is a host's part as the owner of scheduling. It belongs to the deciding
// goroutine, which also calls it with the results of orders.
type owner struct {
	host   *Host
	epoch  id.Epoch
	core   *dispatch.Dispatcher
	cancel context.CancelFunc
	// seq is the number of the last append under this epoch.
	seq uint64
	// writing is set while an append is under way.
	writing bool
	// listed holds the workers in the platform's list.
	listed map[id.Worker]bool
	since  unit.Instant
}

// epochAt draws the epoch of a claim at an offset. The store takes two appends of one
// writer, epoch and number for the same one, so two hosts that claim at the same offset
// must not have the same epoch.
func epochAt(at id.Offset) id.Epoch {
	return id.Epoch(at+1)<<epochDrawBits | id.Epoch(rand.Uint64N(1<<epochDrawBits))
}

// epochDrawBits is how many bits of an epoch are drawn. With the offset they stay
// below 2^53, which every JSON number keeps.
const epochDrawBits = 20

// claim asks the store to make this host the owner.
func (h *Host) claim(ctx context.Context) {
	h.claiming = true
	at := h.table.Next()
	epoch := epochAt(at)
	rec, err := h.table.OwnerRecord(jobtable.Owner{Host: h.self, Epoch: epoch})
	if err != nil {
		h.log.Error("claim-failed", zap.Error(err))
		h.claiming = false
		return
	}
	h.log.Info("claim", zap.Uint64("epoch", uint64(epoch)), zap.String("previous", string(h.table.Owner().Host)))
	go func() {
		end, err := h.store.Append(ctx, platform.TopicJobs, []jobtable.Record{rec}, platform.Writer{Name: ownerWriter, Epoch: epoch, Seq: 1}, &at)
		h.post(ctx, func(now unit.Instant) { h.claimed(ctx, now, rec, at, end, err) })
	}()
}

// claimed takes in what became of a claim.
func (h *Host) claimed(ctx context.Context, now unit.Instant, rec jobtable.Record, at, end id.Offset, err error) {
	h.claiming = false
	if err != nil {
		h.log.Info("claim-refused", zap.Uint64("at", uint64(at)), zap.Uint64("end", uint64(end)), zap.Error(err))
		go h.catchUp(ctx)
		return
	}
	if h.table.Next() != at || h.stopping.Load() {
		go h.catchUp(ctx)
		return // the reader overtook the answer; ownership settles it
	}
	h.applyJobs(now, []jobtable.Record{rec}, at)
}

// ownership makes the host the owner, or ends that, by what the table says.
func (h *Host) ownership(now unit.Instant) {
	o := h.table.Owner()
	if h.owner != nil && (o.Host != h.self || o.Epoch != h.owner.epoch) {
		h.stepDown("a later claim is in the store")
	}
	if h.owner == nil && o.Host == h.self && o.Epoch != h.lost && !h.stopping.Load() {
		h.takeOver(now, o.Epoch)
	}
	if o.Host == "" && o.Epoch > 0 && h.released != o.Epoch {
		h.released = o.Epoch
		h.election.Released(now)
	}
}

// takeOver begins to schedule, from the state in the table.
func (h *Host) takeOver(now unit.Instant, epoch id.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{
		host: h, epoch: epoch, core: dispatch.New(h.settings.Workers, epoch, h.table), cancel: cancel,
		seq: 1, listed: map[id.Worker]bool{}, since: now,
	}
	h.owner = o
	h.metrics.owning.Store(true)
	h.metrics.takeovers.Inc()
	h.log.Info("owner", zap.Uint64("epoch", uint64(epoch)), zap.Int("jobs", len(h.table.Jobs())), zap.Uint64("applied", uint64(h.table.Next())))
	if c := h.catalog.Load(); c != nil {
		o.configure(c)
	}
	for _, j := range h.table.Jobs() {
		o.learn(now, j)
	}
	go h.readServers(ctx, o)
}

// stepDown ends scheduling at once.
func (h *Host) stepDown(why string) {
	if h.owner == nil {
		return
	}
	h.log.Warn("owner-ended", zap.Uint64("epoch", uint64(h.owner.epoch)), zap.String("why", why))
	h.owner.cancel()
	h.lost = h.owner.epoch
	h.owner = nil
	h.metrics.owning.Store(false)
}

// learn takes in what the table says of a job.
func (o *owner) learn(now unit.Instant, j id.Job) {
	e := o.host.table.Get(j)
	if e == nil || e.Spec == nil {
		return
	}
	o.core.AddJob(now, j, e.Spec, e.Progress, e.Cancelled)
	if e.Cancelled {
		o.core.CancelJob(now, j)
	}
}

func (o *owner) configure(c *catalog.Catalog) {
	for _, cust := range c.Customers {
		o.core.Guarantee(cust.Name, cust.Guaranteed)
	}
}

// listAll takes in the whole list of workers.
func (o *owner) listAll(now unit.Instant, recs []jobtable.Record) {
	there := map[id.Worker]bool{}
	for _, r := range recs {
		there[id.Worker(r.Key)] = len(r.Value) > 0
	}
	for w := range o.listed {
		if !there[w] {
			o.unlist(now, w)
		}
	}
	o.list(now, recs)
}

// list takes in changed entries of the list of workers.
func (o *owner) list(now unit.Instant, recs []jobtable.Record) {
	for _, r := range recs {
		if len(r.Value) == 0 {
			o.unlist(now, id.Worker(r.Key))
			continue
		}
		l, err := platform.DecodeListing(r.Key, r.Value)
		if err != nil {
			o.host.log.Error("listing-rejected", zap.Error(err))
			continue
		}
		o.listed[l.ID] = true
		o.core.List(now, l)
	}
}

func (o *owner) unlist(now unit.Instant, w id.Worker) {
	delete(o.listed, w)
	o.core.Unlist(now, w)
}

// pass decides what is due and hands out what follows.
func (o *owner) pass(ctx context.Context, now unit.Instant) {
	o.core.Pass(now, unit.At(time.Now()))
	o.flush(ctx)
	o.handOut(ctx)
	o.tell()
	if o.core.Fenced() {
		o.host.stepDown("a worker has seen a later epoch")
	}
}

// flush writes what must be in the store before more can be done.
func (o *owner) flush(ctx context.Context) {
	if o.writing {
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
	if len(b.Records) == 0 {
		o.core.Committed(o.host.now(), b)
		return
	}
	o.writing = true
	o.seq++
	w := platform.Writer{Name: ownerWriter, Epoch: o.epoch, Seq: o.seq}
	go func() {
		err := o.persist(ctx, b.Records, w)
		o.host.post(ctx, func(now unit.Instant) { o.flushed(ctx, now, b, err) })
	}()
}

// persist repeats an append until it is done, or until this host is not the owner any
// more.
func (o *owner) persist(ctx context.Context, recs []jobtable.Record, w platform.Writer) error {
	var bk backoff
	dep := dependency{log: o.host.log, name: "store append"}
	for ctx.Err() == nil {
		began := time.Now()
		_, err := o.host.store.Append(ctx, platform.TopicJobs, recs, w, nil)
		o.host.metrics.storeCall("append", began, err)
		dep.note(err)
		if err == nil || errors.Is(err, platform.ErrFenced) || errors.Is(err, platform.ErrSequence) || errors.Is(err, platform.ErrInvalid) {
			return err
		}
		bk.wait(ctx)
	}
	return ctx.Err()
}

func (o *owner) flushed(ctx context.Context, now unit.Instant, b dispatch.Batch, err error) {
	o.writing = false
	if o.host.owner != o {
		return
	}
	if err != nil {
		o.host.stepDown(err.Error())
		return
	}
	o.core.Committed(now, b)
	o.handOut(ctx)
	o.flush(ctx)
}

// handOut sends orders, each in a goroutine of its own: a worker has at most one
// renewal and one order for each of its runs under way.
func (o *owner) handOut(ctx context.Context) {
	orders := o.core.Take()
	for _, s := range orders.Starts {
		go func() {
			began := time.Now()
			res := o.host.workers.Start(ctx, s)
			o.host.metrics.order("start", began, res.Verdict.String())
			o.answered(ctx, func(now unit.Instant) { o.core.Started(now, res) })
		}()
	}
	for _, s := range orders.Stops {
		go func() {
			began := time.Now()
			res := o.host.workers.Stop(ctx, s)
			o.host.metrics.order("stop", began, res.Verdict.String())
			o.answered(ctx, func(now unit.Instant) { o.core.Stopped(now, res) })
		}()
	}
	for _, r := range orders.Renews {
		go func() {
			began, sent := time.Now(), o.host.now()
			v, report := o.host.workers.Renew(ctx, r)
			o.host.metrics.order("renew", began, v.String())
			o.answered(ctx, func(now unit.Instant) {
				o.core.Renewed(now, dispatch.RenewResult{Renew: r, Sent: sent, Verdict: v, Report: report})
			})
		}()
	}
}

// answered hands the result of an order to the dispatcher, if it is still in office.
func (o *owner) answered(ctx context.Context, take event) {
	o.host.post(ctx, func(now unit.Instant) {
		if o.host.owner == o {
			take(now)
		}
	})
}

// tell logs what was decided.
func (o *owner) tell() {
	for _, n := range o.core.Notes() {
		fields := make([]zap.Field, 0, 7)
		if n.Job != "" {
			fields = append(fields, zap.String("job", string(n.Job)))
		}
		if n.Task != (job.Task{}) {
			fields = append(fields, zap.Stringer("task", n.Task), zap.Int("run", int(n.Run)))
		}
		if n.Worker != "" {
			fields = append(fields, zap.String("worker", string(n.Worker)))
		}
		if n.Why != "" {
			fields = append(fields, zap.String("why", n.Why))
		}
		if n.Estimate != 0 {
			fields = append(fields, zap.Duration("estimate", n.Estimate))
		}
		if n.Age != 0 {
			fields = append(fields, zap.Duration("age", n.Age))
		}
		if n.Event == dispatch.EventViolated {
			o.host.metrics.faults.Inc()
		}
		o.host.metrics.decisions.WithLabelValues(n.Event).Inc()
		o.host.log.Info(n.Event, append(fields, zap.Uint64("epoch", uint64(o.epoch)))...)
	}
}

// catchUp reads what the table lacks, at once.
func (h *Host) catchUp(ctx context.Context) bool {
	from := make(chan id.Offset, 1)
	if !h.post(ctx, func(unit.Instant) { from <- h.table.Next() }) {
		return false
	}
	var at id.Offset
	select {
	case at = <-from:
	case <-ctx.Done():
		return false
	}
	p, err := h.store.Read(ctx, platform.TopicJobs, at, 0)
	if err != nil {
		return false
	}
	done := make(chan bool, 1)
	if !h.post(ctx, func(now unit.Instant) {
		h.applyJobs(now, p.Records, at)
		done <- h.loaded && h.table.Next() >= p.End
	}) {
		return false
	}
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}
