package upkeep_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/upkeep"
)

// TestScripts runs the scripts of testdata against a plan. A line is a command:
//
//	wave DURATION MAX MACHINE...      creates a plan that may take DURATION, with MAX
//	                                  machines down at a time, each for 2 s
//	at TIME                           sets the time since the wave was first read
//	choose [MACHINE=COST]... -> M...  checks the machines that StartEmptying returns;
//	                                  those without a cost can't be emptied now
//	hurry M true|false                checks the result of EmptyingOverdue
//	order M true|false                checks the result of MarkOrdered
//	carried M                         calls MarkDown
//	refused M                         calls MarkRefused
//	back M                            calls MarkDone
//	drop M                            calls Exclude
//	settle                            calls CompleteOverdue
//	finished true|false               checks the result of Finished
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		s := &script{t: t, now: unit.At(time.Unix(1000, 0))}
		for i, l := range strings.Split(text, "\n") {
			if f := strings.Fields(l); len(f) > 0 && f[0] != "#" {
				s.line = i + 1
				s.do(f)
			}
		}
	})
}

type script struct {
	t    *testing.T
	line int
	now  unit.Instant
	plan *upkeep.Plan
}

func (s *script) do(f []string) {
	m := id.Machine(f[len(f)-1])
	if len(f) > 1 {
		m = id.Machine(f[1])
	}
	switch f[0] {
	case "wave":
		w := upkeep.Wave{Number: 1, MaxDuration: s.duration(f[1])}
		w.MaxDown, _ = strconv.Atoi(f[2])
		for _, name := range f[3:] {
			w.Machines = append(w.Machines, id.Machine(name))
		}
		s.plan = upkeep.New(w, s.now, 2*time.Second)
	case "at":
		s.now = unit.At(time.Unix(1000, 0)).Add(s.duration(f[1]))
	case "choose":
		s.choose(f[1:])
	case "hurry":
		s.want(f[2], s.plan.EmptyingOverdue(s.now, m))
	case "order":
		s.want(f[2], s.plan.MarkOrdered(s.now, m))
	case "carried":
		s.plan.MarkDown(s.now, m)
	case "settle":
		s.plan.CompleteOverdue(s.now)
	case "refused":
		s.plan.MarkRefused(s.now, m)
	case "back":
		s.plan.MarkDone(m)
	case "drop":
		s.plan.Exclude(m)
	case "finished":
		s.want(f[1], s.plan.Finished())
	default:
		s.t.Fatalf("line %d: unknown command %q", s.line, f[0])
	}
}

func (s *script) choose(f []string) {
	costs := map[id.Machine]float64{}
	for len(f) > 0 && f[0] != "->" {
		name, cost, _ := strings.Cut(f[0], "=")
		costs[id.Machine(name)], _ = strconv.ParseFloat(cost, 64)
		f = f[1:]
	}
	got := s.plan.StartEmptying(s.now, func(m id.Machine) (float64, bool) { c, ok := costs[m]; return c, ok })
	want := make([]id.Machine, 0, len(f))
	for _, name := range f[1:] {
		want = append(want, id.Machine(name))
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		s.t.Errorf("line %d: chose %v, want %v", s.line, got, want)
	}
}

func (s *script) want(text string, got bool) {
	if strconv.FormatBool(got) != text {
		s.t.Errorf("line %d: got %t", s.line, got)
	}
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return d
}
