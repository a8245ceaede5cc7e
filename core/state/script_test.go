package state_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/state"
)

// TestScripts applies entries to the reducer, one record for each line, and
// compares the verdicts. A line is ENTRY => VERDICT, where VERDICT is part of the
// error or "accepted"; "again" appends the last record to the log once more. The
// configuration is one rack r1 of 64 accelerators, a guarantee g of 32 for
// customer a, and a customer b.
func TestScripts(t *testing.T) {
	scripttest.Each(t, run)
}

type script struct {
	st   *state.State
	seq  id.Seq
	last []byte
}

func run(t *testing.T, text string) {
	s := &script{st: state.New()}
	rack := &config.Rack{ID: "r1", Domain: "d"}
	for i := range 8 {
		rack.Workers = append(rack.Workers, config.Worker{ID: id.Worker(fmt.Sprint("w", i)), Accelerators: 8})
	}
	site := record.Entry{Configure: &record.Configure{Changes: []config.Change{
		{SetCustomer: &config.Customer{ID: "a", Weight: 1}},
		{SetCustomer: &config.Customer{ID: "b", Weight: 1}},
		{SetRack: rack},
		{SetGuarantee: &config.Guarantee{ID: "g", Customer: "a", Size: 32, Count: 1}},
	}}}
	if got := s.write(t, site); got != "accepted" {
		t.Fatal(got)
	}
	for i, line := range strings.Split(text, "\n") {
		entry, want, ok := strings.Cut(line, "=>")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		if got := s.do(t, strings.Fields(entry)); !strings.Contains(got, strings.TrimSpace(want)) {
			t.Errorf("line %d: %s=> %s", i+1, entry, got)
		}
	}
}

func (s *script) write(t *testing.T, e record.Entry) string {
	s.seq++
	raw, err := record.Encode(record.Batch{
		Version: record.Version, Host: "h", Incarnation: 1, Seq: s.seq, BasisOffset: s.st.Applied, Entries: []record.Entry{e},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.last = raw
	return s.apply(t)
}

func (s *script) apply(t *testing.T) string {
	a, err := s.st.Apply(s.st.Applied+1, s.last)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.st.CheckWitness(); err != nil {
		t.Error(err)
	}
	if a.Verdicts[0] != nil {
		return a.Verdicts[0].Error()
	}
	return "accepted"
}

// do runs one line and returns the verdict. Blocks and homes are START+SIZE in r1; a
// placement with a home uses cell 0 of g.
func (s *script) do(t *testing.T, f []string) string {
	num := func(i int) int {
		n, err := strconv.Atoi(f[i])
		if err != nil {
			t.Fatalf("%v: %v", f, err)
		}
		return n
	}
	span := func(i int) block.Block {
		var b block.Block
		if _, err := fmt.Sscanf(f[i], "%d+%d", &b.Start, &b.Size); err != nil {
			t.Fatalf("%v: %v", f, err)
		}
		b.Rack = "r1"
		return b
	}
	switch f[0] {
	case "again":
		return s.apply(t)
	case "claim":
		return s.write(t, record.Entry{Claim: &record.Claim{Host: id.Host(f[1]), Replaces: id.Epoch(num(2))}})
	case "weight":
		return s.write(t, record.Entry{Configure: &record.Configure{Basis: id.Offset(num(1)), Changes: []config.Change{
			{SetCustomer: &config.Customer{ID: "b", Weight: num(2)}},
		}}})
	case "guarantee":
		return s.write(t, record.Entry{Configure: &record.Configure{Basis: id.Offset(num(1)), Changes: []config.Change{
			{SetGuarantee: &config.Guarantee{ID: "more", Customer: "b", Size: num(2), Count: 1}},
		}}})
	case "submit":
		return s.write(t, record.Entry{Submit: &record.Submit{Job: record.Job{
			ID: id.Job(f[1]), Customer: id.Customer(f[2]), Accelerators: num(3), AtMostOnce: len(f) > 4,
		}}})
	case "place":
		p := &record.Place{Job: id.Job(f[1]), Epoch: id.Epoch(num(2)), Attempt: num(3), Block: span(4)}
		if len(f) > 5 {
			p.Cell, p.Home = record.Cell{Guarantee: "g"}, span(5)
		}
		return s.write(t, record.Entry{Place: p})
	case "end":
		return s.write(t, record.Entry{End: &record.End{
			Job: id.Job(f[1]), Epoch: id.Epoch(num(2)), Attempt: num(3), Outcome: record.Outcome(f[4]),
		}})
	case "cancel":
		return s.write(t, record.Entry{Cancel: &record.Cancel{Job: id.Job(f[1])}})
	case "once", "release":
		o := &record.KeyClaim{Customer: "a", Key: f[1], Host: "h", Request: id.Request(num(2))}
		if f[0] == "once" {
			return s.write(t, record.Entry{ClaimKey: o})
		}
		return s.write(t, record.Entry{ReleaseKey: o})
	}
	t.Fatalf("unknown entry %v", f)
	return ""
}
