package outbox_test

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/outbox"
)

// TestScripts runs the scripts in testdata in virtual time:
//
//	limits QUEUED RECENT INFLIGHT RECENTFOR PERRECEIVER
//	put RECEIVER ORDER... true|false    queues orders; checks whether the last was accepted
//	hold ORDER...                       these stay in flight until released
//	release ORDER                       ends a held order
//	pass TIME                           lets time pass
//	close                               closes the box
//	left ORDER...                       checks which orders were sent since the last check, in any order
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		synctest.Test(t, func(t *testing.T) { play(t, text) })
	})
}

// player is the state of a running script.
type player struct {
	box  *outbox.Box[string]
	held map[string]chan struct{}
	sent chan string
}

func play(t *testing.T, text string) {
	p := &player{held: map[string]chan struct{}{}, sent: make(chan string, 1000)}
	defer p.end()
	for i, l := range strings.Split(text, "\n") {
		f := strings.Fields(l)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		p.do(t, i+1, f)
		synctest.Wait()
	}
}

// end closes the box and ends all held orders.
func (p *player) end() {
	p.box.Close()
	for _, c := range p.held {
		close(c)
	}
	synctest.Wait()
}

func (p *player) do(t *testing.T, line int, f []string) {
	switch f[0] {
	case "limits":
		p.box = outbox.New[string](outbox.Limits{
			Queued: number(t, f[1]), Recent: number(t, f[2]), InFlight: number(t, f[3]), RecentFor: duration(t, f[4]), PerReceiver: number(t, f[5]),
		})
	case "put":
		p.put(t, line, f)
	case "hold":
		for _, o := range f[1:] {
			p.held[o] = make(chan struct{})
		}
	case "release":
		close(p.held[f[1]])
		delete(p.held, f[1])
	case "pass":
		time.Sleep(duration(t, f[1]))
	case "close":
		p.box.Close()
	case "left":
		p.check(t, line, f[1:])
	default:
		t.Fatalf("line %d: unknown command %q", line, f[0])
	}
}

func (p *player) put(t *testing.T, line int, f []string) {
	last := len(f) - 1
	accepted := false
	for _, o := range f[2:last] {
		wait := p.held[o]
		accepted = p.box.Put(f[1], func() {
			p.sent <- o
			if wait != nil {
				<-wait
			}
		})
	}
	if strconv.FormatBool(accepted) != f[last] {
		t.Errorf("line %d: accepted %t", line, accepted)
	}
}

func (p *player) check(t *testing.T, line int, want []string) {
	got := map[string]bool{}
	for range len(p.sent) {
		got[<-p.sent] = true
	}
	names := slices.Sorted(maps.Keys(got))
	if !slices.Equal(names, slices.Sorted(slices.Values(want))) {
		t.Errorf("line %d: %v were sent, want %v", line, names, want)
	}
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestOrderEndsAsItAgesOut sends orders that end at the moment they stop
// counting as recent.
//
// It guards against a data race that ended the owner's process with a nil
// pointer dereference. A goroutine sends one order after another and keeps the
// current one in a variable. An order's timer may fire while the order ends. If
// the timer's function reads this variable, it may find the next order and
// count that instead, or find nil after the last order.
func TestOrderEndsAsItAgesOut(t *testing.T) {
	const recentFor, orders = 100 * time.Millisecond, 500
	synctest.Test(t, func(t *testing.T) {
		box := outbox.New[int](outbox.Limits{Queued: orders, Recent: 8, InFlight: 16, RecentFor: recentFor, PerReceiver: 2})
		sent := make(chan int, orders)
		for i := range orders {
			box.Put(i%40, func() {
				time.Sleep(recentFor)
				sent <- i
			})
		}
		time.Sleep(orders * recentFor)
		synctest.Wait()
		if len(sent) != orders {
			t.Errorf("%d of %d orders were sent", len(sent), orders)
		}
	})
}
