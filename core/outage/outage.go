// Package outage detects outages of the platform's store from the results of one
// host's calls.
package outage

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// minLength is the shortest outage that counts. The entries of workers don't
	// lapse in a shorter one.
	minLength = time.Second
	// maxPause is the longest pause between two failed calls of one outage. In
	// a longer one the store may have answered.
	maxPause = time.Second
	// maxStall is the longest time between two calls of Tick. In a longer one the
	// host stood still, so that calls failed which the store has answered.
	maxStall = time.Second
	// maxQuiet is how long no other host may be heard before the host counts as
	// cut off. A host that may be the owner hears others several times a second.
	maxQuiet = time.Second
)

// Monitor follows the calls of a host to the store. The calls go through other
// hosts if the direct path fails, so the store is away if all calls fail for a
// while. A host that is cut off from everything sees the same, so only the time
// counts in which it hears other hosts. The zero value is ready for use.
type Monitor struct {
	// failingSince is when the first call of the current series of failures
	// began, lastFailureAt when the latest one ended; 0 if there is no such
	// series.
	failingSince, lastFailureAt unit.Instant
	// connectedSince is since when other hosts are heard without a pause longer
	// than maxQuiet; 0 if none is heard.
	connectedSince unit.Instant
	// firstAnsweredAt and answeredAt are when the first and the newest answer of
	// the store arrived. tickedAt is when Tick was last called, resumedAt when the
	// host last went on after it had stood still.
	firstAnsweredAt, answeredAt, tickedAt, resumedAt unit.Instant
	// began and ended delimit the latest outage; 0 if there was none.
	began, ended unit.Instant
}

// Tick records that the host is running; heardAt is when the newest message of
// another host arrived, 0 if none has. It is to be called several times a second,
// and before the result of a call is reported.
func (m *Monitor) Tick(now, heardAt unit.Instant) {
	if now.Sub(m.tickedAt) > maxStall {
		m.resumedAt = now
		m.endSeries()
	}
	m.tickedAt = now
	switch {
	case now.Sub(heardAt) > maxQuiet:
		m.connectedSince = 0
	case m.connectedSince == 0:
		m.connectedSince = heardAt
	}
}

// Failed records that a call has failed that began at the given time.
func (m *Monitor) Failed(began unit.Instant) {
	if began <= m.answeredAt || began < m.resumedAt {
		return
	}
	if began.Sub(m.lastFailureAt) > maxPause {
		m.endSeries()
	}
	if m.failingSince == 0 {
		m.failingSince = began
	}
	m.lastFailureAt = m.tickedAt
}

// Answered records that a call has been answered, and reports whether an outage
// has ended. alone is set if the host knows of no other hosts.
func (m *Monitor) Answered(alone bool) bool {
	m.answeredAt = m.tickedAt
	if m.firstAnsweredAt == 0 {
		m.firstAnsweredAt = m.tickedAt
	}
	since := max(m.failingSince, m.connectedSince)
	over := m.failingSince != 0 && (alone || m.connectedSince != 0) && m.lastFailureAt.Sub(since) >= minLength
	if over {
		m.began, m.ended = since, m.answeredAt
	}
	m.endSeries()
	return over
}

// endSeries ends the current series of failures.
func (m *Monitor) endSeries() { m.failingSince, m.lastFailureAt = 0, 0 }

// Failing reports whether calls fail at present, so that an outage may go on.
func (m *Monitor) Failing() bool { return m.failingSince != 0 }

// Since returns when the store first answered this host; 0 if it hasn't.
func (m *Monitor) Since() unit.Instant { return m.firstAnsweredAt }

// Latest returns when the latest outage began and when the store answered again,
// both 0 if there was no outage.
func (m *Monitor) Latest() (began, ended unit.Instant) { return m.began, m.ended }
