package soak

import (
	"sync"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

const (
	// heartbeatInterval is the mean interval at which a worker writes its
	// entry; each interval differs from it by up to a tenth.
	heartbeatInterval = 1500 * time.Millisecond
	// missedHeartbeats is the number of heartbeat intervals without a heartbeat
	// after which an entry expires.
	missedHeartbeats = 3
	// entriesInterval is the interval at which all entries are checked.
	entriesInterval = 20 * time.Millisecond
	// maxReturnTime bounds how long after the end of a store outage the entries
	// that expired during it are written again.
	maxReturnTime = 2 * time.Second
	// minLateness and maxLateness bound how long after the crash or restart of
	// an incarnation its last heartbeat reaches the store, if it is late.
	minLateness, maxLateness = 500 * time.Millisecond, 4 * time.Second
)

// entry is the entry of one incarnation of a worker in the store's list.
type entry struct {
	standin.Entry
	incarnation *standin.Worker
	// nextHeartbeat is when the next heartbeat is due, writtenAt when the last
	// one was written.
	nextHeartbeat, writtenAt time.Time
	// listed is set while the store lists the entry. isolated is set while the
	// worker can't reach the store. ended is set once the incarnation has
	// ended.
	listed, isolated, ended bool
}

// entryList keeps the entries of all worker incarnations of a site, as the
// workers and the store do: an incarnation rewrites its entry at each
// heartbeat, and the store removes it after missedHeartbeats without one.
type entryList struct {
	site *site

	mu            sync.Mutex
	byIncarnation map[*standin.Worker]*entry
	storeAway     bool // set during an outage of the store
}

// run updates the entries until end is closed.
func (l *entryList) run(end <-chan struct{}) {
	t := time.NewTicker(entriesInterval)
	defer t.Stop()
	for {
		select {
		case <-end:
			return
		case <-t.C:
			l.mu.Lock()
			for _, e := range l.byIncarnation {
				l.update(e)
			}
			l.mu.Unlock()
		}
	}
}

// update writes the entry if its heartbeat is due, and removes the entry if it
// has expired. During an outage of the store it does nothing.
func (l *entryList) update(e *entry) {
	switch now := time.Now(); {
	case l.storeAway:
	case !e.ended && !e.isolated && now.After(e.nextHeartbeat):
		l.write(e)
	case e.listed && now.After(e.writtenAt.Add(missedHeartbeats*heartbeatInterval)):
		l.remove(e)
	}
}

// write writes an entry as one heartbeat.
func (l *entryList) write(e *entry) {
	e.Seq++
	if !e.ended {
		e.Clock = e.incarnation.Clock()
	}
	e.writtenAt, e.listed = time.Now(), true
	e.nextHeartbeat = e.writtenAt.Add(heartbeatInterval * time.Duration(90+l.site.intN(20)) / 100)
	l.site.store.PutEntry(e.incarnation.ID(), e.Entry)
}

// remove removes an entry from the store's list.
func (l *entryList) remove(e *entry) {
	e.listed = false
	l.site.store.DropWorker(e.incarnation.ID())
	if e.ended {
		delete(l.byIncarnation, e.incarnation)
	}
}

// add writes the first entry of an incarnation.
func (l *entryList) add(incarnation *standin.Worker, first standin.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byIncarnation[incarnation] = &entry{Entry: first, incarnation: incarnation}
	l.write(l.byIncarnation[incarnation])
}

// endHeartbeats ends the heartbeats of an incarnation. If late is set, one more
// heartbeat arrives after a delay.
func (l *entryList) endHeartbeats(incarnation *standin.Worker, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.byIncarnation[incarnation]
	if e == nil {
		return
	}
	e.ended = true
	if !late {
		return
	}
	wait := minLateness + time.Duration(l.site.intN(int(maxLateness-minLateness)))
	time.AfterFunc(wait, func() { l.writeLate(e) })
}

// restart changes the entry of a worker that has restarted under the same ID.
// It becomes the entry of the new incarnation, and the next update writes it.
// If late is set, a last heartbeat of the previous incarnation overwrites the
// entry in the store after a delay.
func (l *entryList) restart(incarnation *standin.Worker, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.byIncarnation[incarnation]
	if e == nil || e.ended {
		return
	}
	previous := e.Entry
	e.Start, e.Seq, e.nextHeartbeat = incarnation.Start(), 0, time.Time{}
	if !late {
		return
	}
	wait := minLateness + time.Duration(l.site.intN(int(maxLateness-minLateness)))
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.storeAway && e.listed {
			l.site.store.PutEntry(incarnation.ID(), previous)
		}
	})
}

// writeLate writes the delayed heartbeat of an incarnation that has ended.
func (l *entryList) writeLate(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byIncarnation[e.incarnation] = e
	l.write(e)
}

// withdraw removes the entry of an incarnation that has left.
func (l *entryList) withdraw(incarnation *standin.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.byIncarnation[incarnation]; e != nil {
		e.ended = true
		l.remove(e)
	}
}

// change changes an entry. The next update writes it, unless the worker can't
// reach the store.
func (l *entryList) change(incarnation *standin.Worker, edit func(*entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.byIncarnation[incarnation]; e != nil {
		edit(e)
		e.nextHeartbeat = time.Time{}
	}
}

// setStoreAway begins or ends an outage of the store. When the outage ends, all
// entries have expired. Incarnations that still run then write their entries
// again within maxReturnTime.
func (l *entryList) setStoreAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeAway = away
	if away {
		return
	}
	for _, e := range l.byIncarnation {
		l.remove(e)
		e.nextHeartbeat = time.Now().Add(time.Duration(l.site.intN(int(maxReturnTime))))
	}
}
