package wslink_test

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/wslink"
)

// policies has round durations, to make the scripts easy to follow.
var policies = wslink.Policies{
	Dialed:   wslink.Policy{PingAfter: time.Second, InUsePingAfter: 200 * time.Millisecond, PongTimeout: 500 * time.Millisecond, IdleTimeout: 10 * time.Second},
	Accepted: wslink.Policy{PingAfter: 3 * time.Second, InUsePingAfter: 200 * time.Millisecond, PongTimeout: 500 * time.Millisecond},
}

// TestScripts runs scripts with connections between two hosts in virtual time.
// A script has one command per line:
//
//	dial NAME               opens a connection
//	use NAME | release NAME a caller starts | stops waiting on it
//	close NAME              the dialing side closes it
//	silence DIR [FIRST]     connections drop all bytes: to-target, from-target, both; starts with
//	                        the connection of that number, counted from 0
//	thin DURATION           from now on, each 4 kB take so long
//	send BYTES              the accepting side of the newest connection sends a message
//	write NAME BYTES        the dialing side sends a message
//	doubt SIDE              all connections of a side become suspect: dialed or accepted
//	wait DURATION
//	open DIALED ACCEPTED    checks how many connections are open on the two sides
//	silent DIALED ACCEPTED  checks how many were found dead
//	cause NAME WHY          checks why the connection ended on the dialing side: silent, idle,
//	                        broken, closed, or open
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		synctest.Test(t, func(t *testing.T) {
			w := newHosts(t)
			for line := range strings.Lines(text) {
				if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
					w.do(t, f)
				}
				synctest.Wait()
			}
			w.stop()
		})
	})
}

// hosts is a host that opens connections and one that accepts them.
type hosts struct {
	network        *network
	server         *http.Server
	opens, accepts *wslink.Links

	conns    map[string]*wslink.Conn
	releases map[string]func()

	mu sync.Mutex
	// newest is the connection that was accepted last.
	newest *wslink.Conn
}

func newHosts(t *testing.T) *hosts {
	t.Helper()
	w := &hosts{network: newNetwork(), conns: map[string]*wslink.Conn{}, releases: map[string]func(){}}
	w.opens = wslink.New(wslink.NewClient(w.network.dial), policies, 8<<20, zap.NewNop())
	w.accepts = wslink.New(nil, policies, 8<<20, zap.NewNop())
	w.server = &http.Server{Handler: http.HandlerFunc(w.accept), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(w.network) }()
	return w
}

// accept accepts a connection and reads it until it ends.
func (w *hosts) accept(rw http.ResponseWriter, r *http.Request) {
	c, err := w.accepts.Accept(rw, r)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.newest = c
	w.mu.Unlock()
	for err == nil {
		_, err = c.Read(context.Background())
	}
}

// stop closes everything. Bytes still in transit arrive in the virtual time
// that follows; the test fails if a goroutine remains.
func (w *hosts) stop() {
	w.opens.Close()
	w.accepts.Close()
	_ = w.server.Close()
	time.Sleep(time.Minute)
}

// do runs one command.
func (w *hosts) do(t *testing.T, f []string) {
	t.Helper()
	switch f[0] {
	case "dial":
		w.conns[f[1]] = w.dial(t)
	case "use":
		w.releases[f[1]] = w.conns[f[1]].Use()
	case "release":
		w.releases[f[1]]()
	case "close":
		w.conns[f[1]].Close()
	case "silence":
		first := 0
		if len(f) > 2 {
			first = number(t, f[2])
		}
		w.network.silence(first, map[string]direction{"to-target": toTarget, "from-target": fromTarget, "both": toTarget | fromTarget}[f[1]])
	case "thin":
		w.network.setChunkDelay(duration(t, f[1]))
	case "send":
		w.mu.Lock()
		c := w.newest
		w.mu.Unlock()
		send(c, number(t, f[1]))
	case "write":
		send(w.conns[f[1]], number(t, f[2]))
	case "doubt":
		map[string]*wslink.Links{"dialed": w.opens, "accepted": w.accepts}[f[1]].MarkAllSuspect()
	case "wait":
		time.Sleep(duration(t, f[1]))
	default:
		w.check(t, f)
	}
}

// check compares the state of the hosts with what a script expects.
func (w *hosts) check(t *testing.T, f []string) {
	t.Helper()
	var got []string
	switch f[0] {
	case "open":
		got = []string{strconv.Itoa(w.opens.Open()), strconv.Itoa(w.accepts.Open())}
	case "silent":
		got = []string{strconv.FormatUint(w.opens.FoundDead(), 10), strconv.FormatUint(w.accepts.FoundDead(), 10)}
	case "cause":
		got = []string{f[1], why(w.conns[f[1]].Cause())}
	default:
		t.Fatalf("unknown command %q", f)
	}
	if !slices.Equal(got, f[1:]) {
		t.Errorf("%v: got %v", f, got)
	}
}

// dial opens a connection and reads it until it ends.
func (w *hosts) dial(t *testing.T) *wslink.Conn {
	t.Helper()
	c, err := w.opens.Dial(context.Background(), "ws://peer/")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for err := error(nil); err == nil; {
			_, err = c.Read(context.Background())
		}
	}()
	return c
}

// send sends a message asynchronously.
func send(c *wslink.Conn, n int) {
	go func() { _ = c.Write(context.Background(), make([]byte, n)) }()
}

// why returns the script's name for the cause of an end.
func why(err error) string {
	for name, cause := range map[string]error{
		"silent": wslink.ErrSilent, "idle": wslink.ErrIdle, "broken": wslink.ErrBroken, "closed": wslink.ErrClosed,
	} {
		if errors.Is(err, cause) {
			return name
		}
	}
	return "open"
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestNothingStays checks that no goroutine leaks when ten connections are
// silenced, a hundred times, in each direction.
func TestNothingStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHosts(t)
		synctest.Wait()
		before := goroutines()
		for round := range 100 {
			for range 10 {
				w.dial(t)
			}
			w.network.silence(0, direction(round%3+1))
			time.Sleep(5 * time.Second)
			synctest.Wait()
			w.check(t, []string{"open", "0", "0"})
		}
		if after := goroutines(); after != before {
			t.Errorf("%d goroutines, %d before", after, before)
		}
		w.stop()
	})
}

// goroutines returns the number of goroutines in the test's bubble. The
// runtime's own, which come and go with garbage collection, aren't counted.
func goroutines() int {
	all := make([]byte, 1<<20)
	return strings.Count(string(all[:runtime.Stack(all, true)]), "synctest bubble")
}

// TestPing checks that a ping succeeds, and fails on a silent connection.
func TestPing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHosts(t)
		c := w.dial(t)
		time.Sleep(100 * time.Millisecond)
		if err := c.Ping(context.Background()); err != nil {
			t.Error(err)
		}
		if ago := time.Since(c.LastReceived()); ago != 0 {
			t.Errorf("last bytes arrived %v ago", ago)
		}
		w.network.silence(0, fromTarget)
		if err := c.Ping(context.Background()); !errors.Is(err, wslink.ErrSilent) {
			t.Errorf("got %v, want %v", err, wslink.ErrSilent)
		}
		w.stop()
	})
}
