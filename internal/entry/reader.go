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
	// jobsWait is how long a read of the jobs waits for news, ownerWait the same on the owner: what it grants rests
	// on reads that left within 3 s, and one in a row may be lost.
	jobsWait  = 1500 * time.Millisecond
	ownerWait = 500 * time.Millisecond
	// jobsPause is the pause between two reads that brought news; each costs.
	// standbyPause is the one on hosts that would claim first, so that they see at once
	// that the owner has handed over.
	jobsPause    = 500 * time.Millisecond
	standbyPause = 100 * time.Millisecond
	// waitedPause is the pause where a job waits for it: on the owner, and while a
	// client waits for a job's end.
	waitedPause = 8 * time.Millisecond
	// serversPause is the pause between two reads of the list of workers. A
	// worker that leaves must get nothing new after 2 s.
	serversPause = 300 * time.Millisecond
)

// readJobs follows the state of all jobs.
func (h *Host) readJobs(ctx context.Context) {
	t := &tail{host: h, topic: platform.TopicJobs, wait: h.waitOfJobs, wake: h.wake, pause: h.pauseOfJobs}
	t.whole = func(recs []jobtable.Record, end id.Offset) {
		h.post(ctx, func(now unit.Instant) { h.loadJobs(now, recs, end) })
	}
	t.more = func(recs []jobtable.Record, from id.Offset) {
		h.post(ctx, func(now unit.Instant) { h.applyJobs(now, recs, from) })
	}
	t.reached = func(left unit.Instant) {
		h.post(ctx, func(unit.Instant) { h.assure(left) }) // behind the records that it has brought
	}
	t.run(ctx)
}

// waitOfJobs returns how long a read of the jobs waits for news.
func (h *Host) waitOfJobs() time.Duration {
	if h.metrics.owning.Load() {
		return ownerWait
	}
	return jobsWait
}

// pauseOfJobs returns the pause between two reads of the jobs.
func (h *Host) pauseOfJobs() time.Duration {
	switch {
	case h.metrics.owning.Load(), h.waiting.Load() > 0:
		return waitedPause
	case h.standby.Load():
		return standbyPause
	default:
		return jobsPause
	}
}

// loadJobs replaces the table by what the store has.
func (h *Host) loadJobs(now unit.Instant, recs []jobtable.Record, end id.Offset) {
	if h.loaded && end < h.table.Next() {
		return // an answer that was overtaken
	}
	table := jobtable.New()
	for _, r := range recs {
		if _, err := table.Apply(r); err != nil {
			h.log.Error("record-rejected", zap.Error(err))
		}
	}
	table.Advance(end)
	table.KeepProgress(h.table)
	if !h.loaded {
		h.newest = table.Owner().Epoch // what was there before this host isn't news
	}
	h.table, h.loaded = table, true
	h.log.Info("jobs-loaded", zap.Int("records", len(recs)), zap.Uint64("end", uint64(end)))
	if table.Former() {
		why := "jobs have progress in " + string(platform.TopicJobs) + ": this host claims nothing before they are forgotten"
		h.log.Error("earlier-version", zap.String("why", why))
	}
	h.noteFormerLife()
	h.election.Known(table.Owner().Host)
	h.ownership(now)
	for _, j := range table.Jobs() {
		h.changed(now, j)
	}
}

// applyJobs applies the records that the table doesn't have yet.
func (h *Host) applyJobs(now unit.Instant, recs []jobtable.Record, from id.Offset) {
	if !h.loaded || from > h.table.Next() {
		return // a gap: the read that fills it is on its way
	}
	for i, r := range recs {
		offset := from + id.Offset(i)
		if offset < h.table.Next() {
			continue
		}
		j, err := h.table.Apply(r)
		h.table.Advance(offset + 1)
		if err != nil {
			h.log.Error("record-rejected", zap.Uint64("offset", uint64(offset)), zap.Error(err))
			continue
		}
		if j != "" {
			h.changed(now, j)
		}
	}
	h.ownership(now)
}

// changed hands news of a job to those who wait for it.
func (h *Host) changed(now unit.Instant, j id.Job) {
	h.tellWatchers(j)
	if h.owner != nil {
		h.owner.learn(now, j)
	}
}

// readServers follows the list of workers while the host is the owner.
func (h *Host) readServers(ctx context.Context, o *owner) {
	t := &tail{host: h, topic: platform.TopicServers, pause: func() time.Duration { return serversPause }}
	t.whole = func(recs []jobtable.Record, _ id.Offset) {
		h.post(ctx, func(now unit.Instant) { o.listAll(now, recs) })
	}
	t.more = func(recs []jobtable.Record, _ id.Offset) {
		recs = newestOfEach(recs)
		h.post(ctx, func(now unit.Instant) { o.list(now, recs) })
	}
	t.run(ctx)
}

// newestOfEach drops records that a later one of the same key has overtaken.
func newestOfEach(recs []jobtable.Record) []jobtable.Record {
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
