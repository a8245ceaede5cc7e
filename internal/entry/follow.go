package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/waiting"
)

// Only the candidates, which would claim the ownership first, follow the job
// log and hold the table of jobs. If all hosts of a large site did, the bytes
// that they read together would exceed what the store can deliver as soon as
// they all start at once. For the same reason, the candidates of a large site
// load the jobs one after the other. A host without the table asks the
// candidates about jobs, and appends the records of its own callers to the log.

// unaidedTime is how long a reserve follows the jobs itself after it could reach
// no candidate with a question about a job.
const unaidedTime = 30 * time.Second

// A host also follows the jobs itself once no candidate has answered from a
// table for noTableTime, although some were reached. Each host adds its own part
// of noTableSpread, so that hundreds of them don't load at the same moment.
const (
	noTableTime   = 12 * time.Second
	noTableSpread = 12 * time.Second
)

// shouldFollow reports whether this host needs the table of jobs. Only the
// deciding goroutine may call it.
func (h *Host) shouldFollow(now unit.Instant) bool {
	if h.owner != nil || h.takeover != nil || h.claiming || now < h.unaidedUntil {
		return true
	}
	return h.candidacy.Candidate() && (h.loaded || h.candidacy.ShouldLoad(now, h.election.Position()))
}

// updateFollowing starts or stops following the jobs according to this host's
// role. Only the deciding goroutine may call it.
func (h *Host) updateFollowing(now unit.Instant) {
	follow := h.shouldFollow(now)
	if h.following.Swap(follow) == follow {
		return
	}
	h.log.Info("jobs-followed", zap.Bool("follows", follow), zap.Bool("candidate", h.candidacy.Candidate()), zap.Bool("unaided", now < h.unaidedUntil))
	if follow {
		h.wakeReader()
	}
}

// unloadJobs drops the table after the reader has stopped to follow the jobs.
// It would become outdated.
func (h *Host) unloadJobs(now unit.Instant) {
	if h.shouldFollow(now) {
		return // the reader loads the jobs again and replaces the table
	}
	h.table, h.loaded, h.progress = jobtable.New(), false, progressPosition{}
	h.jobsReadAt, h.counts = 0, waiting.New()
	h.followOwner()
}

// noteNoTable records that candidates were reached, but none had a table. It
// reports whether that has been so for too long.
func (h *Host) noteNoTable() bool {
	now := h.now()
	if h.noTableSince.CompareAndSwap(0, int64(now)) {
		return false
	}
	return now.Sub(unit.Instant(h.noTableSince.Load())) >= noTableTime+h.noTableDelay
}

// followUnaided makes a reserve follow the jobs itself for some time.
func (h *Host) followUnaided(ctx context.Context) {
	h.post(ctx, func(now unit.Instant) {
		h.unaidedUntil = now.Add(unaidedTime)
		h.updateFollowing(now)
	})
}
