package world

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// relistWithin is the time after an outage within which live workers write
	// their entries in the list again.
	relistWithin = 2 * time.Second
	// listReadInterval is the interval of the owner's reads of the list, which
	// the model plays for listReadsAfter from the end of an outage.
	listReadInterval = 300 * time.Millisecond
	listReadsAfter   = 20 * time.Second
)

// outage is the latest outage of the store in which the entries of the list lapse;
// the zero value if there was none.
type outage struct{ began, ended unit.Instant }

// beginOutage makes the store unavailable. Nothing is written to the list of
// workers meanwhile.
func (w *World) beginOutage(duration time.Duration) {
	ended := w.now.Add(duration)
	w.store.upAt = max(w.store.upAt, ended)
	if w.now >= w.outage.ended {
		w.outage.began = w.now
	}
	w.outage.ended = max(w.outage.ended, ended)
	w.Schedule(duration, w.endOutage)
	if w.setup.Handovers {
		w.tellEndsUntil(ended)
	}
}

// inOutage reports whether nothing can be written to the list of workers.
func (w *World) inOutage() bool { return w.now < w.outage.ended }

// endOutage makes all entries of the list lapse. Workers that are up and not cut
// off write theirs again. The hosts record the outage, and the owner reads the
// list.
func (w *World) endOutage() {
	if w.inOutage() {
		return // a longer outage goes on
	}
	o := w.outage
	for _, l := range slices.Clone(w.listings) {
		w.unlist(l.ID)
	}
	if w.setup.MembershipsLapse {
		w.lapseMemberships()
	}
	for _, m := range w.machines {
		w.Schedule(scale(relistWithin, w.draw("relist", m.ID, w.now)), m.publishListing)
	}
	if w.owner != nil && w.owner.host.startedAt <= o.began {
		w.owner.enqueueEvent(func(x *owner) { x.dispatcher.NoteOutage(o.began, o.ended) })
	}
	r, err := w.table.OutageRecord(jobtable.Outage{Ended: w.now})
	if err != nil {
		w.recordViolation("cannot encode the record of an outage: " + err.Error())
		return
	}
	w.store.append(jobsLog, 0, []jobtable.Record{r}, func(bool) {})
	w.readListUntil(w.now.Add(listReadsAfter))
}

// readListUntil makes the owner read the list repeatedly until a time.
func (w *World) readListUntil(until unit.Instant) {
	if w.now > until {
		return
	}
	if w.owner != nil && !w.inOutage() {
		asOf := w.now.Add(-w.setup.Times.ListingDelay)
		w.owner.enqueueEvent(func(o *owner) { o.dispatcher.ConfirmList(w.now, dispatch.ListRead{AsOf: asOf}) })
		if w.setup.MachineList {
			w.readMachines()
		}
	}
	w.Schedule(listReadInterval, func() { w.readListUntil(until) })
}
