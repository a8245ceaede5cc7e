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
	// timeoutFactor is the factor by which a read waits longer than usual for
	// its answer; 0 counts as 1.
	timeoutFactor int
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
	for ctx.Err() == nil {
		if t.enabled != nil && !t.enabled() {
			if loaded {
				loaded = false
				t.disabled()
			}
			pauseUntilWoken(ctx, followPollInterval, t.wake)
			continue
		}
		var err error
		began, sentAt, atEnd := time.Now(), t.host.now(), false
		readCtx := platform.WithReadTimeoutFactor(ctx, max(1, t.timeoutFactor))
		if loaded {
			next, atEnd, err = t.read(readCtx, next)
		} else {
			next, err = t.load(readCtx)
			loaded, atEnd = err == nil, err == nil
		}
		if errors.Is(err, platform.ErrRecordsDropped) {
			loaded = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		t.adaptTimeout(err)
		if err != nil {
			b.wait(ctx, began)
			continue
		}
		b.reset()
		if t.caughtUp != nil && atEnd {
			t.caughtUp(sentAt)
		}
	}
}

// adaptTimeout doubles timeoutFactor after a read without an answer if the
// store answers short calls. Such a store is overloaded, and a reader that
// gives up and retries falls further behind. The factor doesn't grow while the
// store answers nothing, so that its return is noticed soon.
func (t *tail) adaptTimeout(err error) {
	switch {
	case err == nil:
		t.timeoutFactor = 1
	case errors.Is(err, platform.ErrNoAnswer) && !t.host.health.hanging():
		t.timeoutFactor = min(maxTimeoutFactor, 2*max(1, t.timeoutFactor))
	}
}

// maxTimeoutFactor is the upper limit of tail.timeoutFactor.
const maxTimeoutFactor = 8

// load passes the newest record of each key to onLoad. It returns the offset
// from which to read on: the end as of the first page, because later pages may
// contain newer records.
func (t *tail) load(ctx context.Context) (id.Offset, error) {
	recs, end, err := newest(ctx, t.host.store, t.topic)
	if err == nil {
		t.onLoad(recs, end)
	}
	return end, err
}

// newest returns the newest record of each key of a topic, and the topic's end
// as of the first page.
func newest(ctx context.Context, s *platform.Store, topic platform.Topic) ([]jobtable.Record, id.Offset, error) {
	first, err := s.Newest(ctx, topic, "")
	if err != nil {
		return nil, 0, err
	}
	recs, page := first.Records, first
	for page.More && len(page.Records) > 0 {
		if page, err = s.Newest(ctx, topic, page.Records[len(page.Records)-1].Key); err != nil {
			return nil, 0, err
		}
		recs = append(recs, page.Records...)
	}
	return recs, first.End, nil
}

// read passes the records from an offset on to onAppend. It returns the next
// offset, and whether that is the end of the topic.
func (t *tail) read(ctx context.Context, from id.Offset) (next id.Offset, atEnd bool, err error) {
	wait := time.Duration(0)
	if t.wait != nil {
		wait = t.wait()
	}
	p, err := t.host.store.Read(ctx, t.topic, from, wait)
	if err != nil {
		return from, false, err
	}
	if len(p.Records) > 0 {
		t.onAppend(p.Records, from)
	}
	atEnd = p.Next >= p.End
	if atEnd && (len(p.Records) > 0 || wait == 0) {
		pauseUntilWoken(ctx, t.pause(), t.wake)
	}
	return p.Next, atEnd, nil
}
