package dispatch

import (
	"strconv"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/tombstone"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// tombstonesEvery is the interval between checks for tombstones to drop.
	// maxTombstoneDrops bounds how many are dropped at a check. More can be dropped
	// in the same time than can be written without exceeding tombstone.Max.
	tombstonesEvery   = 2 * time.Second
	maxTombstoneDrops = 2000
)

// tombstones decides when tombstones are dropped.
type tombstones struct {
	checkedAt unit.Instant
	// kept holds what this owner knows of each tombstone, by its name.
	kept map[string]keptTombstone
	// drops are the records that delete tombstones, for the next batch.
	drops []jobtable.Record
}

// keptTombstone is a tombstone that was written at written, and that this owner has
// known since seenAt. It is being dropped if dropped is set.
type keptTombstone struct {
	written, seenAt unit.Instant
	dropped         bool
}

// ExpireTombstones drops the tombstones that have lasted long enough. The time at
// which one was written is by another host's clock, so that an owner keeps it for
// tombstone.Retention from when it has first seen it, and only if its age is twice
// that, for less. A tombstone that has cancelled a job is kept for as long as the
// job: otherwise the job would seem to have been accepted before.
func (d *Dispatcher) ExpireTombstones(now, wall unit.Instant, table *jobtable.Table) {
	t := &d.tombstones
	if now.Sub(t.checkedAt) < tombstonesEvery {
		return
	}
	t.checkedAt = now
	if table.Tombstones().Len() == 0 {
		t.kept = nil
		return
	}
	next := make(map[string]keptTombstone, table.Tombstones().Len())
	table.Tombstones().Each(func(j id.Job, customer id.Customer, written unit.Instant) {
		name := tombstone.Name(j, customer, written)
		k, known := t.kept[name]
		if !known || k.written != written {
			k = keptTombstone{written: written, seenAt: now}
		}
		expired := now.Sub(k.seenAt) > tombstone.Retention || wall.Sub(written) > 2*tombstone.Retention
		if e := table.Get(j); e != nil && e.Spec != nil && tombstone.Covers(customer, e.Spec.Customer) {
			expired = false
		}
		if expired && !k.dropped && len(t.drops) < maxTombstoneDrops {
			k.dropped = true
			t.drops = append(t.drops, jobtable.DropTombstoneRecord(j, jobtable.Tombstone{Customer: customer, Written: written}))
		}
		next[name] = k
	})
	t.kept = next
	if n := len(t.drops); n > 0 {
		d.note(Note{Event: EventTombstonesDropped, Why: strconv.Itoa(n) + " of " + strconv.Itoa(len(next))})
	}
}

// takeDrops returns the records that delete tombstones.
func (t *tombstones) takeDrops() []jobtable.Record {
	out := t.drops
	t.drops = nil
	return out
}
