package entry

import (
	"context"
	"errors"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// tail follows one topic: it first loads the newest record of each key, then
// reads the records that are appended.
type tail struct {
	host  *Host
	topic platform.Topic
	// wait returns how long a read may wait for new records; nil if reads don't
	// wait.
	wait  func() time.Duration
	pause func() time.Duration
	// enabled reports whether to follow the topic; nil to follow it always.
	// disabled is called once when enabled turns false after a load.
	enabled  func() bool
	disabled func()
	// wake cuts a pause short; nil if pauses are never cut short.
	wake <-chan struct{}
	// caughtUp is called after each read that came to the end of the topic,
	// with the time at which the read was sent; nil if no such call is needed.
	caughtUp func(sentAt unit.Instant)
	timeout  adaptiveTimeout
	// snapshot is a load that isn't complete; nil if there is none. It holds the
	// topic as of its first page, whose read was sent at snapshotSentAt or later.
	snapshot       *snapshot
	snapshotSentAt unit.Instant
	// onLoad is called with the newest record of each key, and onAppend with
	// records that were appended from an offset on.
	onLoad   func(recs []jobtable.Record, end id.Offset)
	onAppend func(recs []jobtable.Record, from id.Offset)
}

// run follows the topic until ctx is done.
func (t *tail) run(ctx context.Context) {
	var b backoff
	dep := dependency{log: t.host.log, name: "store " + string(t.topic)}
	next, loaded := id.Offset(0), false
	t.timeout.health = t.host.health
	for ctx.Err() == nil {
		if t.enabled != nil && !t.enabled() {
			t.snapshot = nil
			if loaded {
				loaded = false
				t.disabled()
			}
			pauseUntilWoken(ctx, followPollInterval, t.wake)
			continue
		}
		var err error
		var got pageRead
		began, sentAt := time.Now(), t.host.now()
		readCtx := t.timeout.apply(ctx)
		if loaded {
			got, err = t.read(readCtx, next)
			next = got.next
		} else {
			next, err = t.load(readCtx)
			loaded, got.atEnd, sentAt = err == nil, err == nil, t.snapshotSentAt
		}
		if loaded && errors.Is(err, platform.ErrRecordsDropped) {
			loaded = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		t.timeout.note(err)
		if err != nil {
			b.wait(ctx, began)
			continue
		}
		b.reset()
		if t.caughtUp != nil && got.atEnd {
			t.caughtUp(sentAt) // before the pause, during which the table would seem older than it is
		}
		if got.pauses {
			pauseUntilWoken(ctx, t.pause(), t.wake)
		}
	}
}

// pageRead is the result of a read of appended records.
type pageRead struct {
	// next is the offset from which to read on, and atEnd is set if that is the
	// end of the topic.
	next  id.Offset
	atEnd bool
	// pauses is set if a pause is due before the next read.
	pauses bool
}

// load passes the newest record of each key to onLoad. It returns the offset
// from which to read on. After a failure, the next call continues with the page
// that failed.
func (t *tail) load(ctx context.Context) (id.Offset, error) {
	if t.snapshot == nil {
		t.snapshot = newSnapshot(t.host.store, t.topic)
	}
	if !t.snapshot.begun {
		t.snapshotSentAt = t.host.now()
	}
	recs, end, err := t.snapshot.read(ctx)
	if err == nil {
		t.snapshot = nil
		t.onLoad(recs, end)
	}
	return end, err
}

// read passes the records from an offset on to onAppend.
func (t *tail) read(ctx context.Context, from id.Offset) (pageRead, error) {
	wait := time.Duration(0)
	if t.wait != nil {
		wait = t.wait()
	}
	p, err := t.host.store.Read(ctx, t.topic, from, wait)
	if err != nil {
		return pageRead{next: from}, err
	}
	if len(p.Records) > 0 {
		t.onAppend(p.Records, from)
	}
	atEnd := p.Next >= p.End
	return pageRead{next: p.Next, atEnd: atEnd, pauses: atEnd && (len(p.Records) > 0 || wait == 0)}, nil
}
