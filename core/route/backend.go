package route

import (
	"time"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// The rules for backend servers.
const (
	// ejectAfter is the number of failures in a row that eject a backend server.
	ejectAfter = 3
	// ejectFor is the first pause of an ejected backend server; it doubles with
	// each failed probe up to ejectMax.
	ejectFor = time.Second
	ejectMax = 30 * time.Second
	// trustLeaving is how long first-hand evidence that a backend server leaves
	// goes before a host list that still shows it as live.
	trustLeaving = 90 * time.Second
	// loadFresh is how long a reported load is believed.
	loadFresh = 2 * time.Second
	// probeEvery is how often a backend server is asked by each of the probers
	// hosts that look after it.
	probeEvery = time.Second
	probers    = 2
)

type backendState string

type backendEvent string

const (
	live     backendState = "live"
	ejected  backendState = "ejected"
	probing  backendState = "probing"
	leaving  backendState = "leaving"
	leave    backendEvent = "leave"
	eject    backendEvent = "eject"
	probe    backendEvent = "probe"
	success  backendEvent = "success"
	comeBack backendEvent = "return"
)

var backendChart = chart.MustParse[backendState, backendEvent]("backend.chart", charts.Read("backend"))

// backend is what this host believes of one backend server.
type backend struct {
	id    id.Backend
	state backendState
	// flying is the number of this host's requests at it.
	flying int
	// load is the last reported number of slots in use, at loadAt.
	load   int
	loadAt unit.Instant
	// fails counts failures in a row; pause is the current ejection time and
	// until its end.
	fails int
	pause time.Duration
	until unit.Instant
	// probed is when this host last asked whether it takes requests, or left that
	// to others.
	probed unit.Instant
	// left is when first-hand evidence said that it leaves. Doubted is set once that
	// is long ago and the list shows it as live; a probe has to confirm it.
	left    unit.Instant
	doubted bool
}

func (b *backend) apply(ev backendEvent) bool {
	to, err := backendChart.Next(b.state, ev)
	if err != nil {
		return false
	}
	b.state = to
	return true
}

// usable reports whether the backend server may get a request at now, by a host
// that may have the given number of requests there.
func (b *backend) usable(now unit.Instant, share int) bool {
	if b.state == ejected && now >= b.until {
		b.apply(probe)
	}
	switch b.state {
	case live:
		return b.flying < share
	case probing:
		return b.flying == 0
	}
	return false
}

// cost rates the backend server for a new request; lower is better.
func (b *backend) cost(now unit.Instant) int {
	if now.Sub(b.loadAt) > loadFresh {
		return b.flying
	}
	return max(b.load, b.flying)
}

// ended takes in the end of an attempt.
func (b *backend) ended(now unit.Instant, r Result, mayEject bool) {
	b.flying--
	if r.Load >= 0 {
		b.load, b.loadAt = r.Load, now
	}
	switch r.Outcome {
	case Whole, Busy:
		b.fails, b.pause = 0, 0
		b.apply(success)
	case Leaving:
		b.left = now
		b.apply(leave)
	default:
		b.failed(now, mayEject)
	}
}

func (b *backend) failed(now unit.Instant, mayEject bool) {
	b.fails++
	if b.state == live && (b.fails < ejectAfter || !mayEject) {
		return
	}
	if b.apply(eject) {
		b.pause = min(max(2*b.pause, ejectFor), ejectMax)
		b.until = now.Add(b.pause)
	}
}
