package entry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/freshness"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// ownTable is the source of an answer from this host's own table.
const ownTable = "own table"

// staleReason is why a table was not brought up to date for a call, or why an
// answer can't be taken from it.
type staleReason uint8

const (
	// upToDate: the table was brought up to date, or didn't need it.
	upToDate staleReason = iota
	// storeHangs: no read was tried, because the store seems to hang.
	storeHangs
	// readFailed: the store didn't answer the read in time, or refused it.
	readFailed
	// readIncomplete: the store has more records than were read.
	readIncomplete
	// notLoaded: the host has no table.
	notLoaded
	// callEnded: the time of the call was over before.
	callEnded
	// recordUnreadable: a record that the answer depends on was rejected.
	recordUnreadable
)

// String returns the reason as it is logged; empty for upToDate.
func (u staleReason) String() string {
	switch u {
	case upToDate:
		return ""
	case storeHangs:
		return "the store seems to hang"
	case readFailed:
		return "the read failed"
	case readIncomplete:
		return "the read was incomplete"
	case notLoaded:
		return "the jobs are not loaded"
	case callEnded:
		return "the call ended"
	case recordUnreadable:
		return "a record can't be read"
	}
	return "unknown"
}

// origin tells from which table an answer about jobs was taken.
type origin struct {
	// source is ownTable, or the address of the candidate that answered; empty if
	// no table was there. The other fields but stale are valid only with a source.
	source string
	// completeAt is when the table was last known to lack nothing, by this host's
	// clock (0 for never), and offset the one up to which it was applied. For a count
	// that was kept, both are of the table that it was taken from.
	completeAt unit.Instant
	offset     id.Offset
	// counted is how long ago a count was taken.
	counted time.Duration
	stale   staleReason
}

// age returns the age of the table.
func (o origin) age(now unit.Instant) freshness.Age { return freshness.Of(now, o.completeAt) }

// outdated returns why an answer from the table is refused.
func (o origin) outdated(now unit.Instant) string {
	text := "the jobs are not known yet"
	if age := o.age(now); age.Known() {
		text = fmt.Sprintf("the jobs are known as of %.1f s ago", time.Duration(age).Seconds())
	}
	if o.stale == upToDate {
		return text
	}
	return text + ": " + o.stale.String()
}

// fields returns the log fields of an answer.
func (o origin) fields(now unit.Instant) []zap.Field {
	fields := []zap.Field{zap.String("source", o.source)}
	if o.source != "" {
		fields = append(fields, zap.Uint64("offset", uint64(o.offset)))
		if age := o.age(now); age.Known() {
			fields = append(fields, zap.Duration("age", time.Duration(age)))
		}
	}
	if o.counted > 0 {
		fields = append(fields, zap.Duration("counted", o.counted))
	}
	if o.stale != upToDate {
		fields = append(fields, zap.Stringer("stale", o.stale))
	}
	return fields
}

// callKey is the context key of withCall.
type callKey struct{}

// withCall names the client's call on whose behalf a context is used.
func withCall(ctx context.Context, name id.Call) context.Context {
	return context.WithValue(ctx, callKey{}, name)
}

// callOf returns the name of the client's call that a context belongs to; empty
// if there is none.
func callOf(ctx context.Context) id.Call {
	name, _ := ctx.Value(callKey{}).(id.Call)
	return name
}

// nameOf returns the name of a client's call. Without one by the client, it is
// made of the random part of this incarnation's name and a number.
func (f *clientHandler) nameOf(c *call) id.Call {
	if name, ok := platform.CallName(c.r.Header); ok {
		return name
	}
	return id.Call(fmt.Sprintf("%s-%d", incarnationOf(f.host.self), f.unnamed.Add(1)))
}
