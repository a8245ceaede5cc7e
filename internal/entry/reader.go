package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

const (
	// jobsWait is how long a read of the job log waits for new records.
	// ownerWait is the same for the owner's reads. The owner may grant leases
	// only if a read that it sent within the last 3 s was answered. ownerWait
	// is so short that the owner keeps this right when one read is lost.
	jobsWait  = 1500 * time.Millisecond
	ownerWait = 500 * time.Millisecond
	// jobsPause is the pause after a read that returned records, because each
	// read loads the store. A call whose answer depends on newer records ends
	// the pause. standbyPause is the pause on standby hosts, those that would
	// be among the first to claim the ownership. It is short so that they
	// notice at once when the owner hands over.
	jobsPause    = 1200 * time.Millisecond
	standbyPause = 100 * time.Millisecond
	// awaitedPause is the pause on the owner, and on a host where a client
	// waits for the end of a job. There, a job waits for the next read.
	awaitedPause = 8 * time.Millisecond
	// workerListPause is the pause between two reads of the list of workers. A
	// worker that leaves must get no new tasks after 2 s.
	workerListPause = 300 * time.Millisecond
	// maxListPause is the longest time between two reads of the list, including
	// workerListPause, after which the second one returns only entries that were
	// written just now. After a longer one they may have been written before an
	// outage of the store.
	maxListPause = time.Second + workerListPause
)

// readJobs follows the job log while this host needs the table of jobs.
func (h *Host) readJobs(ctx context.Context) {
	t := &tail{host: h, topic: platform.TopicJobs, wait: h.waitOfJobs, wake: h.wake, pause: h.pauseOfJobs, enabled: h.following.Load}
	t.disabled = func() { h.post(ctx, h.unloadJobs) }
	t.onLoad = func(recs []jobtable.Record, end id.Offset) {
		h.post(ctx, func(now unit.Instant) { h.loadJobs(now, recs, end) })
	}
	t.onAppend = func(recs []jobtable.Record, from id.Offset) {
		h.post(ctx, func(now unit.Instant) { h.applyJobs(now, recs, from) })
	}
	t.caughtUp = func(sentAt unit.Instant) {
		h.post(ctx, func(unit.Instant) { // handled after the records of the same read
			h.jobsReadAt = max(h.jobsReadAt, sentAt)
			h.assure(sentAt)
		})
	}
	t.run(ctx)
}

// waitOfJobs returns how long a read of the job log waits for new records.
func (h *Host) waitOfJobs() time.Duration {
	if h.metrics.owning.Load() {
		return ownerWait
	}
	return jobsWait
}

// pauseOfJobs returns the pause between two reads of the job log.
func (h *Host) pauseOfJobs() time.Duration {
	switch {
	case h.metrics.owning.Load(), h.waitingCalls.Load() > 0:
		return awaitedPause
	case h.standby.Load():
		return standbyPause
	default:
		return jobsPause
	}
}

// loadJobs replaces the table by the state in the store.
func (h *Host) loadJobs(now unit.Instant, recs []jobtable.Record, end id.Offset) {
	if h.loaded && end < h.table.NextOffset() {
		return // newer records were applied while this answer was on its way
	}
	table := jobtable.New()
	for _, r := range recs {
		if _, err := table.Apply(r); err != nil {
			h.log.Error("record-rejected", zap.Error(err))
		}
	}
	table.Advance(end)
	table.CopyProgress(h.table)
	if !h.loaded {
		h.newestClaim = table.Owner().Epoch // a claim made before this host started is not a new one
	}
	h.table, h.loaded = table, true
	h.log.Info("jobs-loaded", zap.Int("records", len(recs)), zap.Uint64("end", uint64(end)))
	if table.HasLegacyProgress() {
		why := "jobs have progress in " + string(platform.TopicJobs) + ": this host doesn't claim the ownership until they are forgotten"
		h.log.Error("earlier-version", zap.String("why", why))
	}
	h.noteFormerIncarnation()
	h.election.LearnOwner(table.Owner().Host)
	h.updateOwnership(now)
	for _, j := range table.Jobs() {
		h.jobChanged(now, j)
	}
	h.metrics.tombstones.Store(int64(table.Tombstones().Len()))
}

// applyJobs applies the records that the table doesn't hold yet.
func (h *Host) applyJobs(now unit.Instant, recs []jobtable.Record, from id.Offset) {
	if !h.loaded || from > h.table.NextOffset() {
		return // a gap: another read is in flight that fills it
	}
	for i, r := range recs {
		offset := from + id.Offset(i)
		if offset < h.table.NextOffset() {
			continue
		}
		j, err := h.table.Apply(r)
		h.table.Advance(offset + 1)
		if err != nil {
			h.log.Error("record-rejected", zap.Uint64("offset", uint64(offset)), zap.Error(err))
			continue
		}
		if j != "" {
			h.jobChanged(now, j)
		}
	}
	h.metrics.tombstones.Store(int64(h.table.Tombstones().Len()))
	h.updateOwnership(now)
}

// jobChanged passes a change of a job to the calls that wait for it and to the
// owner.
func (h *Host) jobChanged(now unit.Instant, j id.Job) {
	h.notifyWatchers(j)
	if h.owner != nil {
		h.owner.updateJob(now, j)
	}
}

// followWorkerList follows the list of workers while the host is the owner.
func (h *Host) followWorkerList(ctx context.Context, o *owner) {
	t := &tail{host: h, topic: platform.TopicServers, pause: func() time.Duration { return workerListPause }}
	t.onLoad = func(recs []jobtable.Record, _ id.Offset) {
		h.post(ctx, func(now unit.Instant) { o.replaceListings(now, recs) })
	}
	caughtUpAt := unit.Instant(0)
	t.onAppend = func(recs []jobtable.Record, _ id.Offset) {
		recs = newestPerKey(recs)
		list := o.core.List
		if h.now().Sub(caughtUpAt) > maxListPause {
			list = o.core.LoadListing
		}
		h.post(ctx, func(now unit.Instant) { o.updateListings(now, recs, list) })
	}
	t.caughtUp = func(sentAt unit.Instant) {
		caughtUpAt = h.now()
		h.post(ctx, func(now unit.Instant) { o.confirmList(now, sentAt) }) // handled after the records of the same read
	}
	t.run(ctx)
}

// newestPerKey drops the records that are followed by a later one of the same
// key.
func newestPerKey(recs []jobtable.Record) []jobtable.Record {
	last := map[string]int{}
	for i, r := range recs {
		last[r.Key] = i
	}
	out := recs[:0]
	for i, r := range recs {
		if last[r.Key] == i {
			out = append(out, r)
		}
	}
	return out
}
