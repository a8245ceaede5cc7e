package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/freshness"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

const (
	// endWait is how long a query for the state of a running job waits for the
	// job's end. Recording an end through the owner and the store takes about
	// 30 ms.
	endWait = 120 * time.Millisecond
	// refreshWait is how long a call waits for the store to bring the table up to
	// date. usableWait is the same if the answer can be given without it, or the
	// store seems to hang.
	refreshWait = time.Second
	usableWait  = 500 * time.Millisecond
)

// readLimits is the share of a call's remaining time that it may wait for the
// store: usually, and if the store seems to hang. A client that is refused late has
// no time left to ask another host.
type readLimits struct{ share, hangingShare float64 }

var (
	// callerReads are the limits of a call from a client.
	callerReads = readLimits{share: unknownShare, hangingShare: waitShare}
	// questionReads are the limits of another host's question, whose time is already
	// only a share of that of the client's call.
	questionReads = readLimits{share: 0.85, hangingShare: 0.5}
)

// jobView is what the table holds of a job.
type jobView struct {
	loaded, known bool
	state         jobtable.State
	// unreadable is set if a record of the job can't be read.
	unreadable bool
	// customer is the customer that submitted the job; empty for an anonymous
	// queue.
	customer id.Customer
	// tombstones is the number of tombstones of all jobs.
	tombstones int
	// origin is where the view was taken from.
	origin origin
}

// final reports whether no later record changes the state, so that it can be told
// from a table of any age.
func (v jobView) final() bool {
	return v.known && v.state != jobtable.StateQueued && v.state != jobtable.StateRunning
}

// tellable reports whether the state of a known job can be told.
func (v jobView) tellable(now unit.Instant) bool { return v.final() || v.origin.age(now).Usable() }

// ofOtherCustomer reports whether a known job belongs to another customer than
// the call's. Such a job is neither shown to the caller nor cancelled.
func (v jobView) ofOtherCustomer(c *call) bool {
	return v.known && !c.queue.Anonymous && v.customer != "" && v.customer != c.customer
}

// query runs find on the deciding goroutine and returns its result. It reports
// false if ctx ended before the result came.
func query[T any](ctx context.Context, h *Host, find func(now unit.Instant) T) (T, bool) {
	var none T
	out := make(chan T, 1)
	if !h.post(ctx, func(now unit.Instant) { out <- find(now) }) {
		return none, false
	}
	select {
	case v := <-out:
		return v, true
	case <-ctx.Done():
		return none, false
	}
}

// queryJob asks the deciding goroutine for a job.
func (f *clientHandler) queryJob(ctx context.Context, j id.Job) (jobView, bool) {
	v, ok := query(ctx, f.host, func(unit.Instant) jobView { return f.host.lookUp(j) })
	if !ok {
		v.origin.stale = callEnded
	}
	return v, ok
}

// lookUp returns what the table holds of a job. It must run on the deciding
// goroutine.
func (h *Host) lookUp(j id.Job) jobView {
	if !h.loaded {
		return jobView{origin: origin{stale: notLoaded}}
	}
	v := jobView{loaded: true, tombstones: h.table.Tombstones().Len()}
	v.origin = origin{source: ownTable, completeAt: h.jobsReadAt, offset: h.table.NextOffset()}
	if e := h.table.Get(j); e.Accepted() {
		v.known, v.state, v.customer = true, e.State(), e.Spec.Customer
	}
	if !h.table.Readable(j) {
		v.unreadable, v.origin.stale = true, recordUnreadable
	}
	return v
}

// tableAge returns the age of the table. It must run on the deciding goroutine.
func (h *Host) tableAge(now unit.Instant) freshness.Age { return freshness.Of(now, h.jobsReadAt) }

// find looks a job up, in the table or by a question to a candidate. It reports
// false if it can't be told whether there is such a job, or a record of the job
// can't be read. The state of an open job may be too old to be told.
func (f *clientHandler) find(ctx context.Context, j id.Job) (jobView, bool) {
	v, ok := f.findInTable(ctx, j, callerReads)
	if v.loaded || ctx.Err() != nil {
		return v, ok
	}
	answer, err := f.host.askAboutJobs(ctx, jobQuery{Job: j})
	if err != nil {
		return v, false
	}
	return answer.view(), answer.Readable
}

// findInTable is find for a host that follows the jobs. It brings the table up to
// date before, unless the table is current or has the end of the job. That there is
// no such job can be told only after a read that was sent after the question came.
func (f *clientHandler) findInTable(ctx context.Context, j id.Job, limit readLimits) (jobView, bool) {
	asked := f.host.now()
	v, ok := f.queryJob(ctx, j)
	if !ok || !v.loaded {
		return v, false
	}
	age := v.origin.age(asked)
	switch {
	case v.final() && !v.unreadable, v.known && !v.unreadable && age.Current():
		return v, true
	case v.known && !v.unreadable && age.Usable() && f.host.health.hanging():
		v.origin.stale = storeHangs
		return v, true
	}
	left := age.Left()
	if !v.known || v.unreadable {
		left = 0
	}
	stale := f.host.catchUpForCall(ctx, left, limit)
	newer, ok := f.queryJob(ctx, j)
	if !ok {
		v.origin.stale = callEnded
		return v, v.known && !v.unreadable
	}
	if newer.origin.stale == upToDate {
		newer.origin.stale = stale
	}
	return newer, newer.loaded && !newer.unreadable && (newer.known || newer.origin.completeAt >= asked)
}

// catchUpForCall is catchUp within the time that a call has for it. left is for how
// long an answer can be given without it.
func (h *Host) catchUpForCall(ctx context.Context, left time.Duration, limit readLimits) staleReason {
	wait, share := refreshWait, limit.share
	switch {
	case left > 0:
		wait = min(usableWait, left-answerMargin)
	case h.health.hanging():
		wait, share = usableWait, limit.hangingShare
	}
	ctx, cancel := context.WithTimeout(ctx, boundedWait(ctx, wait, share))
	defer cancel()
	return h.callReads.join(ctx, func() staleReason {
		ctx, cancel := context.WithTimeout(context.Background(), refreshWait) // the call that began the read may end before others
		defer cancel()
		return h.catchUp(ctx)
	})
}

// awaitEnd waits up to endWait for the end of a running job. Clients often
// query just when the last task ends, before the host has read the record of
// its end, and would otherwise have to ask again.
func (f *clientHandler) awaitEnd(ctx context.Context, j id.Job, v jobView) jobView {
	if v.loaded {
		return f.awaitEndInTable(ctx, j, v)
	}
	answer, err := f.host.askAboutJobs(ctx, jobQuery{Job: j, AwaitEnd: true})
	if err != nil || !answer.Readable || !answer.Known {
		return v
	}
	return answer.view()
}

// awaitEndInTable is awaitEnd for a host that follows the jobs.
func (f *clientHandler) awaitEndInTable(ctx context.Context, j id.Job, v jobView) jobView {
	f.host.waitingCalls.Add(1)
	defer f.host.waitingCalls.Add(-1)
	ended := make(chan struct{})
	if !f.host.post(ctx, func(unit.Instant) { f.host.watch(j, ended) }) {
		return v
	}
	f.host.wakeReader()
	timer := time.NewTimer(endWait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		f.host.post(ctx, func(unit.Instant) { f.host.watchers.drop(j, ended) })
	case <-ctx.Done():
		f.host.post(context.WithoutCancel(ctx), func(unit.Instant) { f.host.watchers.drop(j, ended) })
		return v
	}
	newer, ok := f.queryJob(ctx, j)
	if !ok || !newer.known || newer.unreadable {
		return v
	}
	if newer.origin.completeAt == v.origin.completeAt {
		newer.origin.stale = v.origin.stale
	}
	return newer
}

// catchUp immediately reads the records that the table lacks. It returns upToDate
// if the table then holds everything that was in the store when the first read was
// answered, and else why it may not. A host without a table reads nothing: to get
// one, it needs the newest record of each key, and not the log from its beginning.
func (h *Host) catchUp(ctx context.Context) staleReason {
	loaded := false
	at, ok := query(ctx, h, func(unit.Instant) id.Offset {
		loaded = h.loaded
		return h.table.NextOffset()
	})
	switch {
	case !ok:
		return callEnded
	case !loaded:
		return notLoaded
	}
	sentAt := h.now()
	for end, first := id.Offset(0), true; ; first = false {
		p, err := h.store.Read(ctx, platform.TopicJobs, at, 0)
		if err != nil {
			h.log.Info("catch-up-failed", zap.Uint64("from", uint64(at)), zap.Error(err))
			return readFailed
		}
		if first {
			end = p.End
		}
		next, stale := h.applyRead(ctx, p, at, end, sentAt)
		if stale != readIncomplete || next <= at {
			return stale
		}
		at = next
	}
}

// applyRead applies a page of the job log that was read from an offset on. The
// table is up to date if it then reaches end, which the log had at sentAt or later.
// It also returns the offset of the first record that the table lacks.
func (h *Host) applyRead(ctx context.Context, p platform.Page, from, end id.Offset, sentAt unit.Instant) (id.Offset, staleReason) {
	next := from
	stale, ok := query(ctx, h, func(now unit.Instant) staleReason {
		h.applyJobs(now, p.Records, from)
		next = h.table.NextOffset()
		switch {
		case !h.loaded:
			return notLoaded
		case next < end:
			return readIncomplete
		}
		h.jobsReadAt = max(h.jobsReadAt, sentAt)
		return upToDate
	})
	if !ok {
		return from, callEnded
	}
	return next, stale
}

// watchers holds, by job, the channels to close when the job ends.
type watchers map[id.Job][]chan struct{}

// add registers a channel to close when a job ends.
func (w watchers) add(j id.Job, c chan struct{}) { w[j] = append(w[j], c) }

// drop removes a channel on which no caller waits any more.
func (w watchers) drop(j id.Job, c chan struct{}) {
	rest := slices.DeleteFunc(w[j], func(x chan struct{}) bool { return x == c })
	if len(rest) == 0 {
		delete(w, j)
		return
	}
	w[j] = rest
}

// notify closes the channels of all that wait for a job.
func (w watchers) notify(j id.Job) {
	for _, c := range w[j] {
		close(c)
	}
	delete(w, j)
}

// watch closes c once a job has ended.
func (h *Host) watch(j id.Job, c chan struct{}) {
	if e := h.table.Get(j); e.Ended() {
		close(c)
		return
	}
	h.watchers.add(j, c)
}

// notifyWatchers notifies those that wait for a job, unless the job is still
// open.
func (h *Host) notifyWatchers(j id.Job) {
	if e := h.table.Get(j); e != nil && !e.Ended() && !e.Cancelled {
		return
	}
	h.watchers.notify(j)
}

// wakeReader starts the next read of the job log at once.
func (h *Host) wakeReader() { wake(h.wake) }
