package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

const (
	// loadWait is how long a call waits on a host that has just started and loads its
	// state, which takes about 30 ms; a slow store needs some 300 ms.
	loadWait = 400 * time.Millisecond
	// loadLook is the pause between two looks whether the state is loaded.
	loadLook = 10 * time.Millisecond
	// endWait is how long the answer on a running job's state waits for its end: an
	// end's way through the owner and the store takes about 30 ms.
	endWait = 120 * time.Millisecond
)

// look is what the table says of a job.
type look struct {
	loaded, known bool
	state         jobtable.Shown
	// customer is the one who handed the job in; empty for an anonymous queue.
	customer id.Customer
}

// foreign reports whether a known job is another customer's than the call's. Such a job
// is not shown, and can't be cancelled.
func (l look) foreign(c *call) bool {
	return l.known && !c.queue.Anonymous && l.customer != "" && l.customer != c.customer
}

// ask lets the deciding goroutine look something up. It reports false if ctx ended
// before the answer came.
func ask[T any](ctx context.Context, h *Host, find func(now unit.Instant) T) (T, bool) {
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

// inTable asks the deciding goroutine for a job.
func (f *front) inTable(ctx context.Context, j id.Job) (look, bool) {
	return ask(ctx, f.host, func(unit.Instant) look { return f.host.lookUp(j) })
}

// whenLoaded asks for a job and gives a host that has just started a moment to load
// its state.
func (f *front) whenLoaded(ctx context.Context, j id.Job) (look, bool) {
	for end := time.Now().Add(within(ctx, loadWait, waitShare)); ; {
		l, ok := f.inTable(ctx, j)
		if !ok || l.loaded || time.Now().After(end) {
			return l, ok
		}
		if !pause(ctx, loadLook) {
			return look{}, false
		}
	}
}

// lookUp returns what the table knows of a job; it belongs to the deciding goroutine.
func (h *Host) lookUp(j id.Job) look {
	l := look{loaded: h.loaded}
	if e := h.table.Get(j); e != nil && e.Spec != nil {
		l.known, l.state, l.customer = true, e.Show(), e.Spec.Customer
	}
	return l
}

// find looks a job up, and reads to the log's end before it says that there is none.
func (f *front) find(ctx context.Context, j id.Job) (look, bool) {
	l, ok := f.inTable(ctx, j)
	if !ok || l.known {
		return l, ok && l.loaded
	}
	reading, cancel := context.WithTimeout(ctx, within(ctx, queueWait, waitShare))
	defer cancel()
	if !l.loaded || !f.host.catchUp(reading) {
		return l, false
	}
	return f.inTable(ctx, j)
}

// awaitEnd waits a short while for a running job's end. Clients ask at the moment in
// which the last task ends, before its record can be read back, and otherwise would
// have to ask again.
func (f *front) awaitEnd(ctx context.Context, j id.Job, l look) look {
	f.host.waiting.Add(1)
	defer f.host.waiting.Add(-1)
	ended := make(chan struct{})
	if !f.host.post(ctx, func(unit.Instant) { f.host.watch(j, ended) }) {
		return l
	}
	f.host.hurry()
	timer := time.NewTimer(endWait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		f.host.post(ctx, func(unit.Instant) { f.host.watchers.drop(j, ended) })
	case <-ctx.Done():
		f.host.post(context.WithoutCancel(ctx), func(unit.Instant) { f.host.watchers.drop(j, ended) })
		return l
	}
	if newer, ok := f.inTable(ctx, j); ok && newer.known {
		return newer
	}
	return l
}

// catchUp reads what the table lacks, at once. It reports whether the table then holds
// all that was in the store when the read was answered.
func (h *Host) catchUp(ctx context.Context) bool {
	at, ok := ask(ctx, h, func(unit.Instant) id.Offset { return h.table.Next() })
	if !ok {
		return false
	}
	p, err := h.store.Read(ctx, platform.TopicJobs, at, 0)
	if err != nil {
		h.log.Info("catch-up-failed", zap.Uint64("from", uint64(at)), zap.Error(err))
		return false
	}
	whole, ok := ask(ctx, h, func(now unit.Instant) bool {
		h.applyJobs(now, p.Records, at)
		return h.loaded && h.table.Next() >= p.End
	})
	return ok && whole
}

// watchers holds, for each job that is waited for, the channels to close when it ends.
type watchers map[id.Job][]chan struct{}

// add makes c wait for a job.
func (w watchers) add(j id.Job, c chan struct{}) { w[j] = append(w[j], c) }

// drop forgets a channel whose reader waits no longer.
func (w watchers) drop(j id.Job, c chan struct{}) {
	rest := slices.DeleteFunc(w[j], func(x chan struct{}) bool { return x == c })
	if len(rest) == 0 {
		delete(w, j)
		return
	}
	w[j] = rest
}

// tell closes the channels of all that wait for a job.
func (w watchers) tell(j id.Job) {
	for _, c := range w[j] {
		close(c)
	}
	delete(w, j)
}

// watch closes c when a job has ended.
func (h *Host) watch(j id.Job, c chan struct{}) {
	if e := h.table.Get(j); e.Ended() {
		close(c)
		return
	}
	h.watchers.add(j, c)
}

// tellWatchers tells those that wait for a job, unless it is still open.
func (h *Host) tellWatchers(j id.Job) {
	if e := h.table.Get(j); e != nil && !e.Ended() && !e.Cancelled {
		return
	}
	h.watchers.tell(j)
}

// hurry makes the next read of the jobs come at once.
func (h *Host) hurry() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
