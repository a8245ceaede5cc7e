package dispatch

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// A worker that lives and reaches the store writes its entry in the platform's
// list again soon after an outage of the store. If it doesn't, and its entry goes,
// the worker has ended, as the platform defines it. Nobody will report how its
// runs ended, so nothing is waited for but the expiry of its leases: a worker that
// is cut off may still run its tasks.
//
// The platform's list of machines tells the two apart. It isn't kept by the workers,
// so that it has one that is cut off for as long as that one runs. The leases of a
// worker that is missing in both lists needn't be waited for.
//
// At other times an entry goes as well when its worker is cut off from the store,
// so that a missing entry proves nothing.

const (
	// relistTime is the time after the store's return within which a live worker
	// writes its entry again. The platform promises about two seconds.
	relistTime = 3 * time.Second
	// maxOutageAge is how long after an outage, by the times of day of two hosts,
	// an owner uses another host's record of it.
	maxOutageAge = relistTime + maxClockDifference
)

// ListRead describes a read of the platform's list of workers that came to the
// end of the list.
type ListRead struct {
	// AsOf is when the read was sent.
	AsOf unit.Instant
	// Unreadable holds the workers whose entries can't be decoded. These entries
	// aren't missing.
	Unreadable []id.WorkerName
}

// NoteOutage records the latest outage of the store that this host has seen.
// Workers whose entries were there when it began are expected to write them again.
func (d *Dispatcher) NoteOutage(began, ended unit.Instant) {
	if ended > d.outageEnded {
		d.expectEntries(began, ended)
	}
}

// InheritOutage uses the latest outage of the store that a host has recorded,
// unless this host has seen an outage as well. It is for the owner on a host that
// has begun too late to see the outage. Workers are expected to write their entries
// again from now on. wall is the time of day.
func (d *Dispatcher) InheritOutage(now, wall unit.Instant, o jobtable.Outage) {
	age := wall.Sub(o.Ended)
	if o == d.inheritedOutage || age.Abs() > maxOutageAge || d.outageEnded != 0 && now.Sub(d.outageEnded) <= maxOutageAge {
		return
	}
	d.inheritedOutage = o
	d.expectEntries(now.Add(-maxOutageAge), now)
}

// expectEntries records the latest outage of the store. A worker that has runs of an
// earlier owner, and that this owner has never seen in the list, had an entry as well:
// runs are placed on listed workers, and none are placed during an outage.
func (d *Dispatcher) expectEntries(began, ended unit.Instant) {
	d.outageEnded = ended
	for _, w := range d.workersByID {
		neverListed := w.Address == "" && len(w.runs) > 0
		w.unrenewed = w.unrenewed || w.listed || w.unlistedAt >= began || neverListed
	}
}

// LoadListing adds or updates a worker from an entry of the platform's list that
// may have been written long ago.
func (d *Dispatcher) LoadListing(now unit.Instant, l fleet.Listing) {
	w := d.worker(now, l.ID)
	unrenewed := w.unrenewed || !w.listed && d.outageEnded != 0 && now.Sub(d.outageEnded) <= relistTime
	d.List(now, l)
	w.unrenewed = unrenewed
}

// ConfirmList records that List, LoadListing and Unlist have reported what a read
// of the list returned. A read that was sent relistTime after an outage or later
// shows which workers are to be presumed to have ended: those that haven't written
// their entries since the outage, and whose entries have gone. They may still have
// answered since: one that leaves can serve for a while without writing its entry.
func (d *Dispatcher) ConfirmList(now unit.Instant, read ListRead) {
	if d.outageEnded == 0 || read.AsOf < d.outageEnded.Add(relistTime) {
		return
	}
	for _, w := range d.workersByID {
		if w.unrenewed && !w.listed && !w.presumedEnded && !slices.Contains(read.Unreadable, w.name) && d.listedByName(w.name) == nil {
			d.presumeEnded(now, w)
		}
	}
}

// presumeEnded records that a worker has ended. Its runs are given up when its
// leases have expired; those that can't have begun are given up at once.
func (d *Dispatcher) presumeEnded(now unit.Instant, w *worker) {
	w.presumedEnded, w.presumedAt = true, now
	d.note(Note{
		Event: EventWorkerPresumedEnded, Worker: w.ID, Why: string(missingAfterOutage), Age: w.silentFor(now),
		Estimate: max(0, w.leaseExpiry().Sub(now)),
	})
	var unsent runSet
	for _, r := range w.sorted() {
		if !r.mayHaveStarted() {
			unsent = append(unsent, r)
		}
	}
	d.loseRuns(now, w, unsent, missingAfterOutage)
}

// expectedEndAt returns since when a worker is presumed to have ended, or since when
// the entry has gone of one that has announced its end; 0 if neither is so.
func (w *worker) expectedEndAt() unit.Instant {
	switch {
	case w.presumedEnded:
		return w.presumedAt
	case w.Draining && !w.listed:
		return w.unlistedAt
	}
	return 0
}

// awaitsMachineList reports whether the list of machines may show that runs of a
// worker whose end is expected needn't be kept until its leases expire.
func (d *Dispatcher) awaitsMachineList() bool {
	return slices.ContainsFunc(d.workersByID, func(w *worker) bool { return w.expectedEndAt() != 0 && len(w.runs) > 0 })
}

// confirmMachines handles a read of the list of machines. The runs of workers whose end
// is expected, and that no machine has, are given up.
func (d *Dispatcher) confirmMachines(now unit.Instant, read MachinesRead) {
	onMachine := map[id.WorkerName]bool{}
	for _, x := range read.Incarnations {
		onMachine[x.Worker] = true
	}
	if !d.hasAllListed(now, read, onMachine) {
		return
	}
	for _, w := range d.workersByID {
		at := w.expectedEndAt()
		if at != 0 && read.AsOf >= at && read.AsOf > w.lastAnswerAt && !onMachine[w.name] {
			d.loseAll(now, w, onNoMachine)
		}
	}
}

// hasAllListed reports whether a read of the list of machines has all workers of the
// list of workers, which must have some. Otherwise the read may be incomplete. Workers
// that leave, or haven't written their entries since an outage, don't count.
func (d *Dispatcher) hasAllListed(now unit.Instant, read MachinesRead, onMachine map[id.WorkerName]bool) bool {
	listed := 0
	for _, w := range d.workersByID {
		if !w.listed || w.Draining || w.unrenewed {
			continue
		}
		if !onMachine[w.name] {
			d.note(Note{Event: EventMachinesIncomplete, Worker: w.ID, Age: now.Sub(read.AsOf)})
			return false
		}
		listed++
	}
	return listed > 0
}
