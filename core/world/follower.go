package world

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/waiting"
)

const (
	// partialReads is the share of reads that return only some of the records
	// that are due.
	partialReads = 0.05
	// longPauses is the share of pauses between two reads that take up to
	// longestPause. Others take up to usualPause.
	longPauses   = 0.02
	usualPause   = 300 * time.Millisecond
	longestPause = 5 * time.Second
	// longestLoad is the longest time from the start of a host to its first read.
	longestLoad = 5 * time.Second
)

// follower is a host's table of the jobs log, from which it answers callers. It
// lags behind the store.
type follower struct {
	world *World
	host  *host
	table *jobtable.Table
	// incarnation is the incarnation of the host that the table belongs to.
	incarnation int
	// loaded is set once a read has been complete.
	loaded bool
	// next is the position in the jobs log of the first record that the table
	// lacks.
	next int
	// completeAt is when the store was last known to have no record that the
	// table lacks; 0 for never.
	completeAt unit.Instant
	// cutOffUntil is until when the host has no path to the store.
	cutOffUntil unit.Instant
	counts      *waiting.Counts
	// oldCounts holds the counts that KeepsCounts reuses.
	oldCounts map[id.Queue]waiting.Count
}

// restart drops the table, and loads another one for the host's present
// incarnation.
func (f *follower) restart() {
	*f = follower{
		world: f.world, host: f.host, table: jobtable.New(), incarnation: f.host.incarnation, cutOffUntil: f.cutOffUntil,
		counts: waiting.New(), oldCounts: map[id.Queue]waiting.Count{},
	}
	f.scheduleReadAfter(f.world.callers.duration(0, longestLoad))
}

// lives reports whether an incarnation of the host is running.
func (f *follower) lives(incarnation int) bool {
	return f.host.up && f.host.incarnation == incarnation && f.incarnation == incarnation
}

// scheduleRead schedules the next read of the log, after which the host pauses
// again.
func (f *follower) scheduleRead() {
	c := &f.world.callers
	pause := c.duration(0, usualPause)
	if c.random.Float64() < longPauses {
		pause = c.duration(usualPause, longestPause)
	}
	f.scheduleReadAfter(pause)
}

// scheduleReadAfter schedules a read after a pause.
func (f *follower) scheduleReadAfter(pause time.Duration) {
	incarnation := f.incarnation
	f.world.Schedule(pause, func() {
		if f.lives(incarnation) {
			f.read(func(bool) { f.scheduleRead() })
		}
	})
}

// reachesStore reports whether the host can read the store now.
func (f *follower) reachesStore() bool {
	w := f.world
	return w.now >= f.cutOffUntil && w.now >= w.store.upAt
}

// read reads the records that the table lacks. It calls done with whether the
// table then has all that was in the store when the read was sent, unless the
// host has ended meanwhile.
func (f *follower) read(done func(complete bool)) {
	w, c := f.world, &f.world.callers
	sent, incarnation, reached := w.now, f.incarnation, f.reachesStore()
	all := len(c.log)
	end := all
	if c.random.Float64() < partialReads {
		end = f.next + (all-f.next)/2
	}
	w.Schedule(scale(c.duration(2*time.Millisecond, 20*time.Millisecond), w.store.slowdown), func() {
		if !f.lives(incarnation) {
			return
		}
		if !reached || !f.reachesStore() {
			done(false)
			return
		}
		f.apply(end, all)
		complete := f.next >= all
		if complete {
			f.loaded, f.completeAt = true, max(f.completeAt, sent)
		}
		done(complete)
	})
}

// apply applies the records of the log before a position. A table that is being
// loaded gets only the newest record of each key, as the store keeps no others. all
// is the end of the log when the store answered: no later record has replaced one of
// the answer.
func (f *follower) apply(end, all int) {
	c := &f.world.callers
	var newest map[string]int
	if !f.loaded {
		newest = c.newestBefore(all)
	}
	for ; f.next < end; f.next++ {
		r := c.log[f.next]
		if !f.loaded && newest[r.Key] != f.next {
			continue
		}
		if _, err := f.table.Apply(r); err != nil {
			f.world.recordViolation("a host can't read the jobs log: " + err.Error())
		}
	}
}

// inTouch reports whether the host has been running with a path to the store, and
// the store undisturbed, for a time.
func (f *follower) inTouch(since time.Duration) bool {
	before := f.world.now.Add(-since)
	return f.host.up && f.host.startedAt <= before && f.cutOffUntil <= before && f.world.store.calmSince() <= before
}

// count returns the number of waiting jobs of a queue, or false if the table is too
// old for it.
func (f *follower) count(q id.Queue) (waiting.Count, bool) {
	w, wrong := f.world, f.world.setup.Callers.Wrong
	table := waiting.Table{CompleteAt: f.completeAt, Offset: id.Offset(f.next)}
	fresh := waiting.Count{Table: table, At: w.now}
	switch {
	case wrong.AnyAge:
		fresh.Jobs = f.table.QueuedCount(q)
		return fresh, true
	case wrong.KeepsCounts:
		if old, found := f.oldCounts[q]; found && w.now.Sub(old.At) < longestPause {
			old.Table = table
			return old, true
		}
		fresh.Jobs = f.table.QueuedCount(q)
		f.oldCounts[q] = fresh
		return fresh, true
	}
	return f.counts.Get(w.now, q, table, f.table.QueuedCount)
}
