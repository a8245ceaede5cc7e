package budget_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/budget"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
)

// TestBudget runs the scripts of testdata. Each line has a time in ms, a call, and
// the result after "=>": ok, full, wait or self, the clients that have to give way,
// and what is used. It guards against clients that together hold more than there
// is, and against an ordinary client that gives way to others that have stopped.
func TestBudget(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		var b *budget.Budget[string]
		for i, line := range strings.Split(text, "\n") {
			if line == "" || strings.HasPrefix(line, "#") {
				continue
			}
			input, want, _ := strings.Cut(line, " => ")
			words := strings.Fields(input)
			if words[0] == "budget" {
				b = budget.New[string](size(t, words[1]), int(size(t, words[2])))
				continue
			}
			if got := call(t, b, words); got != strings.TrimSpace(want) {
				t.Errorf("line %d: %s: got %q, want %q", i+1, input, got, want)
			}
		}
	})
}

func size(t *testing.T, s string) unit.Bytes {
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return unit.Bytes(n)
}

// call makes one call and returns its result as text.
func call(t *testing.T, b *budget.Budget[string], words []string) string {
	now := unit.Instant(time.Duration(size(t, words[0])) * time.Millisecond)
	k := words[2]
	var victims []string
	var err error
	switch words[1] {
	case "add":
		var victim string
		var evict bool
		if victim, evict, err = b.Add(k, now); evict {
			victims = append(victims, victim)
		}
	case "reserve":
		share := 1.0
		if len(words) > 4 {
			share, err = strconv.ParseFloat(words[4], 64)
		}
		if err != nil {
			t.Fatal(err)
		}
		victims, err = b.Reserve(k, size(t, words[3]), share, now)
	case "release":
		b.Release(k, size(t, words[3]))
	case "remove":
		b.Remove(k)
	case "begin":
		b.Begin(k, now)
	case "expect":
		b.Expect(k, size(t, words[3]))
	case "progress":
		b.Progress(k, now)
	case "fix":
		b.Fix(k, words[3] == "yes")
	default:
		t.Fatalf("unknown call %s", words[1])
	}
	return strings.Join(append(append([]string{name(err)}, victims...), fmt.Sprint(int(b.Used()))), " ")
}

func name(err error) string {
	for _, e := range []struct {
		err  error
		name string
	}{{budget.ErrFull, "full"}, {budget.ErrWait, "wait"}, {budget.ErrGiveWay, "self"}} {
		if errors.Is(err, e.err) {
			return e.name
		}
	}
	return "ok"
}
