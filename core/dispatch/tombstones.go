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
	// tombstonesEvery is the interval between checks for tombstones that end.
	// maxTombstoneRecords bounds the records of a check. Each tombstone takes two, and
	// more can end in the same time than can be written without exceeding
	// tombstone.Max.
	tombstonesEvery     = 2 * time.Second
	maxTombstoneRecords = 4000
)

// tombstones decides when tombstones expire and when their keys are deleted.
type tombstones struct {
	checkedAt unit.Instant
	// kept holds what this owner knows of each tombstone, by its name.
	kept map[string]keptTombstone
	// records are to be written with the next batch.
	records []jobtable.Record
}

// keptTombstone is a tombstone in a state that this owner has known since seenAt.
type keptTombstone struct {
	written, seenAt unit.Instant
	expired         bool
	// recorded is set once the record that ends the state is due to be written.
	recorded bool
}

// ExpireTombstones ends the tombstones that have lasted long enough. The time at
// which one was written is by another host's clock, so that an owner keeps it for
// tombstone.Retention from when it has first seen it, and only if its age is twice
// that, for less. A tombstone that has cancelled a job is kept for as long as the
// job: otherwise the job would seem to have been accepted before.
func (d *Dispatcher) ExpireTombstones(now, wall unit.Instant, table *jobtable.Table) error {
	t := &d.tombstones
	if now.Sub(t.checkedAt) < tombstonesEvery {
		return nil
	}
	t.checkedAt = now
	if table.Tombstones().Len() == 0 {
		t.kept = nil
		return nil
	}
	var failed error
	next := make(map[string]keptTombstone, table.Tombstones().Len())
	table.Tombstones().Each(func(j id.Job, customer id.Customer, written unit.Instant, expired bool) {
		name := tombstone.Name(j, customer, written)
		k, known := t.kept[name]
		if !known || k.written != written || k.expired != expired {
			k = keptTombstone{written: written, expired: expired, seenAt: now}
		}
		if !k.recorded && len(t.records) < maxTombstoneRecords && k.due(now, wall, table.Get(j), customer) {
			r, err := endOfTombstone(table, j, jobtable.Tombstone{Customer: customer, Written: written}, expired)
			if err != nil {
				failed = err
				return
			}
			k.recorded = true
			t.records = append(t.records, r)
		}
		next[name] = k
	})
	t.kept = next
	if n := len(t.records); n > 0 {
		d.note(Note{Event: EventTombstonesEnd, Why: strconv.Itoa(n) + " of " + strconv.Itoa(len(next))})
	}
	return failed
}

// due reports whether the state of a tombstone for a customer's job has lasted long
// enough. The entry of the job may be nil.
func (k keptTombstone) due(now, wall unit.Instant, e *jobtable.Entry, customer id.Customer) bool {
	if k.expired {
		return now.Sub(k.seenAt) > tombstone.Linger
	}
	if e != nil && e.Spec != nil && tombstone.Covers(customer, e.Spec.Customer) {
		return false
	}
	return now.Sub(k.seenAt) > tombstone.Retention || wall.Sub(k.written) > 2*tombstone.Retention
}

// endOfTombstone returns the record that lets a tombstone expire, or deletes the key of
// an expired one.
func endOfTombstone(table *jobtable.Table, j id.Job, x jobtable.Tombstone, expired bool) (jobtable.Record, error) {
	if expired {
		return jobtable.DropTombstoneRecord(j, x), nil
	}
	x.Expired = true
	return table.TombstoneRecord(j, x)
}

// takeRecords returns the records that are to be written.
func (t *tombstones) takeRecords() []jobtable.Record {
	out := t.records
	t.records = nil
	return out
}
