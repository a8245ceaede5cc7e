package entry

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/freshness"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/tombstone"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/waiting"
	"curlewsill.org/curlewsill/internal/intake"
	"curlewsill.org/curlewsill/platform"
)

// maxBody is the maximum size of a submitted job if the configuration sets
// none.
const maxBody = 256 << 10

// pending answers a request for the number of waiting jobs of a queue.
func (f *clientHandler) pending(ctx context.Context, q *catalog.Queue) reply {
	got, ok := f.countWaiting(ctx, q.Name, callerReads)
	if !ok && ctx.Err() == nil {
		answer, err := f.host.askAboutJobs(ctx, jobQuery{Queue: q.Name})
		if err != nil {
			return refused("the jobs are not known yet").from(aboutCount, got.origin)
		}
		got = answer.count()
	}
	if now := f.host.now(); !got.readable || !got.origin.age(now).Usable() {
		return refused(got.origin.outdated(now)).from(aboutCount, got.origin)
	}
	rep := reply{status: http.StatusOK, body: platform.PendingBody{Pending: got.jobs}, waiting: got.jobs}
	return rep.from(aboutCount, got.origin)
}

// waitingCount is the number of waiting jobs of a queue.
type waitingCount struct {
	jobs   int
	origin origin
	// readable is set if the number can be told: the table was not too old when it
	// was counted, and has no record of a job of the queue that can't be read.
	readable bool
}

// countWaiting returns the number of waiting jobs of a queue by the table, which it
// brings up to date before if necessary. It reports false if the table isn't
// loaded.
func (f *clientHandler) countWaiting(ctx context.Context, q id.Queue, limit readLimits) (waitingCount, bool) {
	stale := f.refresh(ctx, limit)
	c, ok := query(ctx, f.host, func(now unit.Instant) waitingCount { return f.host.count(now, q) })
	if !ok {
		return waitingCount{origin: origin{stale: callEnded}}, false
	}
	if c.origin.stale == upToDate {
		c.origin.stale = stale
	}
	return c, c.origin.source != ""
}

// refresh brings the table up to date unless it is current. It returns why that
// failed, if it did.
func (f *clientHandler) refresh(ctx context.Context, limit readLimits) staleReason {
	age, ok := query(ctx, f.host, func(now unit.Instant) freshness.Age { return f.host.tableAge(now) })
	switch {
	case !ok:
		return callEnded
	case age.Current():
		return upToDate
	case age.Usable() && f.host.health.hanging():
		return storeHangs
	}
	return f.host.catchUpForCall(ctx, age.Left(), limit)
}

// count returns the number of waiting jobs of a queue by the table as it is. It
// must run on the deciding goroutine.
func (h *Host) count(now unit.Instant, q id.Queue) waitingCount {
	if !h.loaded {
		return waitingCount{origin: origin{stale: notLoaded}}
	}
	table := waiting.Table{CompleteAt: h.jobsReadAt, Offset: h.table.NextOffset()}
	if !h.table.Countable(q) {
		return waitingCount{origin: origin{source: ownTable, completeAt: table.CompleteAt, offset: table.Offset, stale: recordUnreadable}}
	}
	c, ok := h.counts.Get(now, q, table, h.table.QueuedCount)
	from := origin{source: ownTable, completeAt: c.Table.CompleteAt, offset: c.Table.Offset, counted: now.Sub(c.At)}
	return waitingCount{jobs: c.Jobs, origin: from, readable: ok}
}

// from returns the reply as one that tells something of jobs from a table.
func (r reply) from(about subject, o origin) reply {
	r.about, r.origin = about, o
	return r
}

// state answers a request for the state of a job.
func (f *clientHandler) state(ctx context.Context, c *call) reply {
	v, ok := f.find(ctx, c.job)
	switch {
	case !ok:
		return f.unreadableState(v)
	case !v.known || v.ofOtherCustomer(c):
		return reply{status: http.StatusGone, why: "no such job"}.from(aboutGone, v.origin)
	}
	if v.state == jobtable.StateRunning && v.origin.age(f.host.now()).Left() > endWait+answerMargin {
		v = f.awaitEnd(ctx, c.job, v)
	}
	if !v.tellable(f.host.now()) {
		return f.unreadableState(v)
	}
	return reply{status: http.StatusOK, body: platform.StateBody{State: v.state}, why: string(v.state)}.from(aboutState, v.origin)
}

// unreadableState refuses a call because the newest state of a job can't be read.
func (f *clientHandler) unreadableState(v jobView) reply {
	return refused("the newest state can't be read, "+v.origin.outdated(f.host.now())).from(aboutState, v.origin)
}

// cancel cancels a job. The answer is sent when the cancel record is in the
// store, or a tombstone if the job isn't known. An open job is cancelled however old
// the table is: a cancellation has no effect on a job that has ended meanwhile.
func (f *clientHandler) cancel(ctx context.Context, c *call) reply {
	t := f.viewTombstones(ctx, c)
	switch {
	case t.unknown && t.cancelled:
		v, _ := f.queryJob(ctx, c.job)
		return noOpenJob(v.origin)
	case t.unknown && !t.full:
		return f.cancelUnknown(ctx, c)
	}
	v, ok := f.find(ctx, c.job)
	if !ok {
		return f.unreadableState(v)
	}
	if v.known {
		if rep, done := answerCancel(c, v); done {
			return rep
		}
		return f.store(ctx, f.records.CancelRecord(c.job), "cancelled")
	}
	if t.full || v.tombstones >= tombstone.Max {
		return refused(whyTooManyTombstones).from(aboutGone, v.origin)
	}
	return f.afterTombstone(ctx, c, f.putTombstone(ctx, c), v, true)
}

// submit accepts a job. The answer is sent when the job's record is in the
// store. A job that is already known gets the same status as a new one, so that
// clients may retry the request. A host that doesn't know the jobs accepts as
// well: a second record of the same job has no effect. A job that was cancelled
// before it came is rejected.
func (f *clientHandler) submit(ctx context.Context, c *call) reply {
	limit := c.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	data, err := receive(ctx, c, unit.Bytes(limit))
	if err != nil {
		return notReceived(err)
	}
	f.liftBodyLimit(c.w)
	rec, rep, ok := f.specRecord(ctx, c, data)
	if !ok {
		return rep
	}
	v, ok := f.queryJob(ctx, c.job)
	if !ok {
		return refused("the host is busy")
	}
	if v.known {
		return reply{status: http.StatusOK, why: "accepted before"}.from(aboutState, v.origin)
	}
	if t := f.viewTombstones(ctx, c); t.covered {
		return rejectCancelled(t.written)
	}
	return f.storeSubmission(ctx, c, rec)
}

// specRecord translates the body of a job to the record that publishes it. One body
// is translated at a time, because the decoded form of a job can be many times as
// large as both. If there is no record, it returns the reply and false.
func (f *clientHandler) specRecord(ctx context.Context, c *call, body []byte) (jobtable.Record, reply, bool) {
	select {
	case f.decoding <- struct{}{}:
		defer func() { <-f.decoding }()
	case <-ctx.Done():
		return jobtable.Record{}, refused("the host is busy"), false
	}
	spec, err := platform.DecodeJob(body)
	if err != nil {
		return jobtable.Record{}, reply{status: http.StatusBadRequest, why: err.Error()}, false
	}
	applyQueueDefaults(&spec, c.queue, c.customer)
	spec.Accepted = unit.At(time.Now())
	rec, err := f.records.SpecRecord(c.job, spec)
	if err != nil {
		return jobtable.Record{}, reply{status: http.StatusBadRequest, why: err.Error()}, false
	}
	if err := intake.Hold(ctx, unit.Bytes(len(rec.Value))); err != nil {
		return jobtable.Record{}, notReceived(err), false
	}
	return rec, reply{}, true
}

// receive receives the body of a call, of at most limit bytes.
func receive(ctx context.Context, c *call, limit unit.Bytes) ([]byte, error) {
	body, err := intake.ReadBody(c.w, c.r, limit)
	if err != nil {
		return nil, err
	}
	return body.Join(ctx)
}

// notReceived returns the reply to a call whose body was not received. The rest of
// the body isn't waited for.
func notReceived(err error) reply {
	var tooLarge *http.MaxBytesError
	rep := reply{status: http.StatusBadRequest, why: "the job was not received whole"}
	switch {
	case errors.As(err, &tooLarge):
		rep = reply{status: http.StatusRequestEntityTooLarge, why: "the job is too large"}
	case errors.Is(err, intake.ErrRefused):
		rep = refused("this host receives too much from its clients")
	case errors.Is(err, os.ErrDeadlineExceeded):
		rep = refused("the job has not come in time")
	}
	rep.last = true
	return rep
}

// applyQueueDefaults sets the fields of a job that the configuration of its
// queue determines.
func applyQueueDefaults(s *job.Spec, q *catalog.Queue, customer id.Customer) {
	s.Customer, s.Queue, s.Service = customer, q.Name, q.Service
	s.Priority, s.MaxAttempts = q.Priority, q.MaxAttempts
	s.DeadlineFactor, s.DeadlineExtra, s.Advice = q.DeadlineFactor, q.DeadlineExtra, q.Advice
}

// store writes a record and returns the reply for the outcome. It reports a
// refusal only if the record was definitely not written.
func (f *clientHandler) store(ctx context.Context, rec jobtable.Record, done string) reply {
	got := f.host.put(ctx, rec)
	if got.outcome == stored {
		got.why = done + got.why
	}
	return reply{status: got.outcome.status(), why: got.why, end: got.end}
}
