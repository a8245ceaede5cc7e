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

// tail follows one topic: the newest record of each key first, then what is added.
type tail struct {
	host  *Host
	topic platform.Topic
	// wait is how long a read may wait for news; nil if it doesn't.
	wait  func() time.Duration
	pause func() time.Duration
	// wanted reports whether the topic is to be followed; nil for always. Once it isn't any more, dropped is called.
	wanted  func() bool
	dropped func()
	// wake cuts a pause short; nil if nobody does.
	wake <-chan struct{}
	// reached is called after each read that came to what was the end of the topic when it left, with that time; nil
	// if nobody wants to know.
	reached func(left unit.Instant)
	// patience times the usual time is how long a read waits for its answer, 0 for the usual one.
	patience int
	// whole is called with the newest records of all keys, and more with those
	// that follow from an offset on.
	whole func(recs []jobtable.Record, end id.Offset)
	more  func(recs []jobtable.Record, from id.Offset)
}

// run follows the topic until ctx is done.
func (t *tail) run(ctx context.Context) {
	var b backoff
	dep := dependency{log: t.host.log, name: "store " + string(t.topic)}
	next, loaded := id.Offset(0), false
	for ctx.Err() == nil {
		if t.wanted != nil && !t.wanted() {
			if loaded {
				loaded = false
				t.dropped()
			}
			pause(ctx, followLook)
			continue
		}
		var err error
		began, left, reached := time.Now(), t.host.now(), false
		patient := platform.WithPatience(ctx, max(1, t.patience))
		if loaded {
			next, reached, err = t.read(patient, next)
		} else {
			next, err = t.load(patient)
			loaded, reached = err == nil, err == nil
		}
		if errors.Is(err, platform.ErrForgotten) {
			loaded = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		t.learn(err)
		if err != nil {
			b.wait(ctx, began)
			continue
		}
		b.reset()
		if t.reached != nil && reached {
			t.reached(left)
		}
	}
}

// learn doubles the patience after a read without an answer from a store that answers short calls: it is behind, and a reader that gives up and
// asks again gets further back. A store that is silent is asked as often as ever, to hear of its return.
func (t *tail) learn(err error) {
	switch {
	case err == nil:
		t.patience = 1
	case errors.Is(err, platform.ErrUnknown) && !t.host.health.hanging():
		t.patience = min(mostPatience, 2*max(1, t.patience))
	}
}

// mostPatience bounds how many times the usual time a read waits.
const mostPatience = 8

// load hands over the newest record of each key, and returns the offset from which to
// read on: the end at the first page, since later pages may be newer.
func (t *tail) load(ctx context.Context) (id.Offset, error) {
	recs, end, err := newest(ctx, t.host.store, t.topic)
	if err == nil {
		t.whole(recs, end)
	}
	return end, err
}

// newest returns the newest record of each key of a topic, and where the topic ended as the first page was read.
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

// read hands over what was added from an offset on. It returns the next offset, and whether that is the end.
func (t *tail) read(ctx context.Context, from id.Offset) (next id.Offset, reached bool, err error) {
	wait := time.Duration(0)
	if t.wait != nil {
		wait = t.wait()
	}
	p, err := t.host.store.Read(ctx, t.topic, from, wait)
	if err != nil {
		return from, false, err
	}
	if len(p.Records) > 0 {
		t.more(p.Records, from)
	}
	if len(p.Records) > 0 || wait == 0 {
		t.rest(ctx)
	}
	return p.Next, p.Next >= p.End, nil
}

// rest pauses before the next read, unless somebody waits for it.
func (t *tail) rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-t.wake:
	case <-time.After(t.pause()):
	}
}
