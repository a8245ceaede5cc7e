package outage_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/outage"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
)

// TestScripts runs the scripts of testdata, which guard against outages that are
// missed, and against ones that are inferred although the store was up. Times
// are offsets from the beginning of a script. A line is a command. The host runs
// and hears other hosts unless a command says otherwise.
//
//	failed BEGAN ENDED        a call to the store failed
//	answered AT [alone]       a call was answered; alone: there are no other hosts
//	stalled AT                the host stands still until then
//	cut                       the host hears no other host from now on
//	healed                    the host hears other hosts again
//	failing true|false        checks whether calls fail at present
//	latest none|BEGAN ENDED   checks the latest outage
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		s := &script{t: t, now: origin}
		for i, l := range strings.Split(text, "\n") {
			if f := strings.Fields(l); len(f) > 0 && !strings.HasPrefix(l, "#") {
				s.line = i + 1
				s.do(f)
			}
		}
	})
}

// script is a monitor under test.
type script struct {
	t       *testing.T
	monitor outage.Monitor
	now     unit.Instant
	// heardAt is when another host was last heard. cut is set while none is.
	heardAt unit.Instant
	cut     bool
	line    int
}

// do executes one command.
func (s *script) do(f []string) {
	switch f[0] {
	case "failed":
		s.runUntil(s.at(f[2]))
		s.monitor.Failed(s.at(f[1]))
	case "answered":
		s.runUntil(s.at(f[1]))
		s.monitor.Answered(len(f) > 2)
	case "stalled":
		s.now = s.at(f[1])
		s.tick()
	case "cut", "healed":
		s.cut = f[0] == "cut"
	case "failing":
		if got := strconv.FormatBool(s.monitor.Failing()); got != f[1] {
			s.t.Errorf("line %d: calls fail: %s", s.line, got)
		}
	case "latest":
		var began, ended unit.Instant
		if f[1] != "none" {
			began, ended = s.at(f[1]), s.at(f[2])
		}
		if b, e := s.monitor.Latest(); b != began || e != ended {
			s.t.Errorf("line %d: the latest outage is %s to %s", s.line, offset(b), offset(e))
		}
	default:
		s.t.Fatalf("line %d: unknown command %q", s.line, f[0])
	}
}

// runUntil lets the host run until a time.
func (s *script) runUntil(at unit.Instant) {
	const step = 50 * time.Millisecond
	for s.now < at {
		s.now = min(at, s.now.Add(step))
		s.tick()
	}
}

// tick reports to the monitor that the host runs.
func (s *script) tick() {
	if !s.cut {
		s.heardAt = s.now
	}
	s.monitor.Tick(s.now, s.heardAt)
}

// origin is the time at which each script begins.
var origin = unit.At(time.Unix(1000, 0))

// at parses an offset from the beginning of the script.
func (s *script) at(text string) unit.Instant {
	s.t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return origin.Add(d)
}

// offset formats a time as an offset from the beginning of a script, and 0 as
// never.
func offset(at unit.Instant) string {
	if at == 0 {
		return "never"
	}
	return at.Sub(origin).String()
}
