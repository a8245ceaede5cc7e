package route

import (
	"time"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Parameters of ejection, of probes and of reported load.
const (
	// ejectAfter is the number of failures in a row that eject a backend
	// server.
	ejectAfter = 3
	// minEjection is the duration of the first ejection of a backend server.
	// Each time the first request after an ejection fails too, the next
	// ejection lasts twice as long, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// leavingMaxAge is how long first-hand evidence that a backend server
	// leaves takes precedence over a host list that still shows it as live.
	leavingMaxAge = 90 * time.Second
	// loadMaxAge is how long a reported load is used after its arrival.
	loadMaxAge = 2 * time.Second
	// probeInterval is the interval at which a host probes a backend server.
	// Each backend server is probed by probersPerBackend hosts.
	probeInterval     = time.Second
	probersPerBackend = 2
)

type backendState string

type backendEvent string

const (
	live    backendState = "live"
	ejected backendState = "ejected"
	probing backendState = "probing"
	leaving backendState = "leaving"
	leave   backendEvent = "leave"
	eject   backendEvent = "eject"
	probe   backendEvent = "probe"
	success backendEvent = "success"
	rejoin  backendEvent = "return"
)

var backendChart = chart.MustParse[backendState, backendEvent]("backend.chart", charts.Read("backend"))

// backend is this host's view of one backend server.
type backend struct {
	id    id.Backend
	state backendState
	// inFlight is the number of this host's requests at the backend server.
	inFlight int
	// load is the last reported number of slots in use, received at loadAt.
	load   int
	loadAt unit.Instant
	// failures counts failures in a row. ejection is the duration of the
	// current ejection and ejectedUntil its end.
	failures     int
	ejection     time.Duration
	ejectedUntil unit.Instant
	// lastProbe is when this host last probed the backend server, or skipped
	// the probe because other hosts are assigned to it.
	lastProbe unit.Instant
	// leavingSince is when the latest first-hand evidence was obtained that the
	// backend server leaves; 0 if there is none. leavingDoubted is set if this
	// evidence is older than leavingMaxAge and the host list shows the backend
	// server as live. A probe must then confirm that the backend server accepts
	// requests.
	leavingSince   unit.Instant
	leavingDoubted bool
}

func (b *backend) apply(ev backendEvent) bool {
	to, err := backendChart.Next(b.state, ev)
	if err != nil {
		return false
	}
	b.state = to
	return true
}

// usable reports whether the backend server may get a request at now from this
// host, which may have at most maxInFlight requests there. After an ejection, a
// backend server gets one request at a time until one succeeds.
func (b *backend) usable(now unit.Instant, maxInFlight int) bool {
	if b.state == ejected && now >= b.ejectedUntil {
		b.apply(probe)
	}
	switch b.state {
	case live:
		return b.inFlight < maxInFlight
	case probing:
		return b.inFlight == 0
	}
	return false
}

// cost returns the load of the backend server as seen by this host. Of two backend
// servers, a new request goes to the one with the lower cost. A load that was
// reported longer ago than loadMaxAge is ignored.
func (b *backend) cost(now unit.Instant) int {
	if now.Sub(b.loadAt) > loadMaxAge {
		return b.inFlight
	}
	return max(b.load, b.inFlight)
}

// ended records the end of an attempt.
func (b *backend) ended(now unit.Instant, r Result, mayEject bool) {
	b.inFlight--
	if r.Load >= 0 {
		b.load, b.loadAt = r.Load, now
	}
	switch r.Outcome {
	case Complete, Busy:
		b.failures, b.ejection = 0, 0
		b.apply(success)
	case Leaving:
		b.leavingSince = now
		b.apply(leave)
	default:
		b.failed(now, mayEject)
	}
}

func (b *backend) failed(now unit.Instant, mayEject bool) {
	b.failures++
	if b.state == live && (b.failures < ejectAfter || !mayEject) {
		return
	}
	if b.apply(eject) {
		b.ejection = min(max(2*b.ejection, minEjection), maxEjection)
		b.ejectedUntil = now.Add(b.ejection)
	}
}
