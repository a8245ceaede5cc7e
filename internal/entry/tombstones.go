package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/tombstone"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// A job that the table doesn't have may still be on its way to the log: its append
// is repeated, the store carries it out late, or its host was frozen. So a
// cancellation of such a job writes a tombstone, which cancels the job whenever it
// comes. A job whose tombstone was stored before its submission came is rejected.

// whyTooManyTombstones is the reason for refusing to cancel an unknown job.
const whyTooManyTombstones = "too many jobs were cancelled that aren't known"

// tombstoneView is what the table tells for a call about a job that may have a
// tombstone.
type tombstoneView struct {
	// unknown is set if the table is loaded and has no record of the job, also none
	// that can't be read.
	unknown bool
	// cancelled is set if another tombstone of the caller would add nothing.
	cancelled bool
	// covered is set if a tombstone cancels the job that the caller submits. It was
	// written at written.
	covered bool
	written unit.Instant
	// full is set if there are as many tombstones as there may be.
	full bool
}

// viewTombstones asks the deciding goroutine for the tombstones of a call's job. The
// result is empty if the call has ended.
func (f *clientHandler) viewTombstones(ctx context.Context, c *call) tombstoneView {
	v, _ := query(ctx, f.host, func(unit.Instant) tombstoneView {
		h := f.host
		if !h.loaded {
			return tombstoneView{}
		}
		set := h.table.Tombstones()
		out := tombstoneView{unknown: !h.lookUp(c.job).known && h.table.Readable(c.job), full: set.Full()}
		out.written, out.covered = h.table.Tombstoned(c.job, c.customer)
		at, found := set.Cancels(c.job, c.coveredCustomer())
		out.cancelled = found && !tombstone.Outdated(unit.At(time.Now()), at)
		return out
	})
	return v
}

// coveredCustomer returns the customer whose jobs a call may cancel; empty for those
// of any customer.
func (c *call) coveredCustomer() id.Customer {
	if c.queue.Anonymous {
		return ""
	}
	return c.customer
}

// putTombstone writes the tombstone of a call's job to the store.
func (f *clientHandler) putTombstone(ctx context.Context, c *call) written {
	rec, err := f.records.TombstoneRecord(c.job, jobtable.Tombstone{Customer: c.coveredCustomer(), Written: unit.At(time.Now())})
	if err != nil {
		f.host.log.Error("tombstone-not-encoded", zap.String("job", string(c.job)), zap.Error(err))
		return written{outcome: notStored, why: "the cancellation can't be recorded"}
	}
	return f.host.put(ctx, rec)
}

// cancelUnknown cancels a job that the table doesn't have. The tombstone is written
// while the table is brought up to date.
func (f *clientHandler) cancelUnknown(ctx context.Context, c *call) reply {
	stored := make(chan written, 1)
	go func() { stored <- f.putTombstone(ctx, c) }()
	v, found := f.find(ctx, c.job)
	if rep, done := answerCancel(c, v); found && v.known && done {
		return rep
	}
	return f.afterTombstone(ctx, c, <-stored, v, found)
}

// afterTombstone returns the reply to a cancelling that wrote a tombstone, after the
// job was looked up with the view v if found is set. That there is no such job can be
// told only if the view has all that the log has before the tombstone. If that can't
// be found out, the tombstone has cancelled the job if there is one.
func (f *clientHandler) afterTombstone(ctx context.Context, c *call, got written, v jobView, found bool) reply {
	if got.outcome != stored {
		return reply{status: got.outcome.status(), why: got.why, end: got.end}
	}
	if found && !v.known && (got.end == 0 || v.origin.offset+1 < got.end) {
		v, found = f.find(ctx, c.job)
	}
	rep := reply{status: http.StatusOK, why: "cancelled" + got.why}
	if found && !v.known {
		rep = noOpenJob(v.origin)
	} else if ended, done := answerCancel(c, v); found && done {
		rep = ended
	}
	rep.end = got.end
	return rep
}

// answerCancel returns the reply to a cancelling that needs no record, because there
// is no job that the caller could cancel, or the job has ended. It reports false if
// the job must be cancelled.
func answerCancel(c *call, v jobView) (reply, bool) {
	switch {
	case v.ofOtherCustomer(c), v.state == jobtable.StateCompleted, v.state == jobtable.StateFailed:
		return noOpenJob(v.origin), true
	case v.state == jobtable.StateCancelled:
		return reply{status: http.StatusOK, why: "cancelled before"}.from(aboutState, v.origin), true
	}
	return reply{}, false
}

// noOpenJob returns the reply to a cancelling of a job that isn't there or has ended.
func noOpenJob(o origin) reply {
	return reply{status: http.StatusGone, why: "no such open job"}.from(aboutGone, o)
}

// rejectCancelled returns the reply to the submission of a job whose tombstone was
// written at a time. The job doesn't run; it may be submitted again once the
// tombstone has expired. That of a job whose record has come lasts longer.
func rejectCancelled(written unit.Instant) reply {
	age := max(0, unit.At(time.Now()).Sub(written))
	rep := refused(fmt.Sprintf("the job was cancelled %.1f s ago, before it came", age.Seconds()))
	rep.retryAfter = max(tombstone.Linger, tombstone.Retention-age)
	return rep
}

// retryAfterText returns a duration as a Retry-After header, which takes whole
// seconds.
func retryAfterText(d time.Duration) string { return fmt.Sprint(int(math.Ceil(d.Seconds()))) }

// errNoOffset reports that the host that stored a record has not told its offset.
var errNoOffset = errors.New("entry: the offset of the record isn't known")

// tombstoneCheck is what the store has of the tombstones of a job.
type tombstoneCheck struct {
	records []jobtable.Record
	offsets []id.Offset
	// end is the end of the log when the store answered.
	end id.Offset
	err error
}

// readTombstones asks the store for the tombstones of a job that the call submits. It
// needs no table.
func (f *clientHandler) readTombstones(ctx context.Context, c *call) tombstoneCheck {
	ctx, cancel := context.WithTimeout(ctx, boundedWait(ctx, unknownWait, callerShares.sent))
	defer cancel()
	var check tombstoneCheck
	for after, first := jobtable.TombstonesFrom(c.job), true; ; first = false {
		page, err := f.host.store.Newest(ctx, platform.TopicJobs, after)
		if err != nil {
			return tombstoneCheck{err: err}
		}
		if first {
			check.end = page.End
		}
		check.records, check.offsets = append(check.records, page.Records...), append(check.offsets, page.Offsets...)
		if !page.More || len(page.Records) == 0 {
			return check
		}
		if after = page.Records[len(page.Records)-1].Key; !jobtable.IsTombstoneOf(after, c.job) {
			return check
		}
	}
}

// storeSubmission writes the record of a job and meanwhile asks the store for
// tombstones of the job. The job is accepted only if no tombstone comes before its
// record in the log: a job that a tombstone cancels never runs.
func (f *clientHandler) storeSubmission(ctx context.Context, c *call, rec jobtable.Record) reply {
	checkCtx, cancel := context.WithCancel(ctx) // a refused call must not go on loading the store
	defer cancel()
	checked := make(chan tombstoneCheck, 1)
	go func() { checked <- f.readTombstones(checkCtx, c) }()
	rep := f.store(ctx, rec, "accepted")
	if rep.status != http.StatusOK {
		return rep
	}
	check := <-checked
	if check.err != nil || rep.end == 0 || check.end+1 < rep.end {
		check = f.readTombstones(ctx, c) // other records came in between
	}
	if check.err != nil {
		return f.unknownTombstone(ctx, c, rep, check.err)
	}
	written, covered, err := f.records.CoveredBy(check.records, check.offsets, c.job, c.customer, max(1, rep.end)-1)
	switch {
	case err != nil:
		return f.unknownTombstone(ctx, c, rep, err)
	case covered && rep.end == 0:
		return f.unknownTombstone(ctx, c, rep, errNoOffset)
	case covered:
		rejected := rejectCancelled(written)
		rejected.end = rep.end
		return rejected
	}
	return rep
}

// unknownTombstone returns the reply to a submission that is stored, if it can't be
// found out whether a tombstone comes before it.
func (f *clientHandler) unknownTombstone(ctx context.Context, c *call, rep reply, err error) reply {
	f.host.log.Warn("tombstone-unknown", zap.String("request", string(callOf(ctx))), zap.String("job", string(c.job)),
		zap.Uint64("offset", uint64(rep.end)), zap.Error(err))
	return reply{status: http.StatusGatewayTimeout, why: "the job is stored, but it isn't known whether it was cancelled before", end: rep.end}
}
