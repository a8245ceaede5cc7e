package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// maxBody is the maximum size of a submitted job if the configuration sets
// none.
const maxBody = 256 << 10

// pending answers a request for the number of waiting jobs of a queue.
func (f *clientHandler) pending(ctx context.Context, q *catalog.Queue) reply {
	n, ok := f.countWaiting(ctx, q.Name)
	if !ok {
		answer, err := f.host.askAboutJobs(ctx, jobQuery{Queue: q.Name})
		if err != nil {
			return refused("the jobs are not known yet")
		}
		n = answer.Waiting
	}
	return reply{status: http.StatusOK, body: platform.PendingBody{Pending: n}}
}

// countWaiting returns the number of waiting jobs of a queue by the table. It
// reports false if the table isn't loaded. If an outdated table can't be brought
// up to date, it counts by that table.
func (f *clientHandler) countWaiting(ctx context.Context, q id.Queue) (int, bool) {
	outdated, ok := query(ctx, f.host, func(now unit.Instant) bool { return f.host.loaded && f.host.jobsOutdated(now) })
	if ok && outdated && !f.host.health.hanging() {
		f.host.catchUpForCall(ctx)
	}
	const notLoaded = -1
	n, ok := query(ctx, f.host, func(now unit.Instant) int {
		if !f.host.loaded {
			return notLoaded
		}
		return f.host.counts.get(now, q, f.host.table.QueuedCount)
	})
	return n, ok && n != notLoaded
}

// state answers a request for the state of a job.
func (f *clientHandler) state(ctx context.Context, c *call) reply {
	v, ok := f.find(ctx, c.job)
	switch {
	case !ok:
		return refused("the newest state can't be read")
	case !v.known || v.ofOtherCustomer(c):
		return reply{status: http.StatusGone, why: "no such job"}
	}
	if v.state == jobtable.StateRunning {
		v = f.awaitEnd(ctx, c.job, v)
	}
	return reply{status: http.StatusOK, body: platform.StateBody{State: v.state}, why: string(v.state)}
}

// cancel cancels a job. The answer is sent when the cancel record is in the
// store.
func (f *clientHandler) cancel(ctx context.Context, c *call) reply {
	v, ok := f.find(ctx, c.job)
	switch {
	case !ok:
		return refused("the newest state can't be read")
	case !v.known || v.ofOtherCustomer(c) || v.state == jobtable.StateCompleted || v.state == jobtable.StateFailed:
		return reply{status: http.StatusGone, why: "no such open job"}
	case v.state == jobtable.StateCancelled:
		return reply{status: http.StatusOK, why: "cancelled before"}
	}
	return f.store(ctx, f.records.CancelRecord(c.job), "cancelled")
}

// submit accepts a job. The answer is sent when the job's record is in the
// store. A job that is already known gets the same status as a new one, so that
// clients may retry the request. A host that doesn't know the jobs accepts as
// well: a second record of the same job has no effect.
func (f *clientHandler) submit(ctx context.Context, c *call) reply {
	limit := c.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return reply{status: http.StatusRequestEntityTooLarge, why: "the job is too large"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refused("the job has not come in time")
	}
	if err != nil {
		return reply{status: http.StatusBadRequest, why: "the job was not received whole"}
	}
	f.liftBodyLimit(c.w)
	spec, err := platform.DecodeJob(data)
	if err != nil {
		return reply{status: http.StatusBadRequest, why: err.Error()}
	}
	v, ok := f.queryJob(ctx, c.job)
	if !ok {
		return refused("the host is busy")
	}
	if v.known {
		return reply{status: http.StatusOK, why: "accepted before"}
	}
	applyQueueDefaults(&spec, c.queue, c.customer)
	spec.Accepted = unit.At(time.Now())
	rec, err := f.records.SpecRecord(c.job, spec)
	if err != nil {
		return reply{status: http.StatusBadRequest, why: err.Error()}
	}
	return f.store(ctx, rec, "accepted")
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
	got, why := f.host.put(ctx, rec)
	if got == stored {
		why = done + why
	}
	return reply{status: got.status(), why: why}
}
