package faultproxy_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/faultproxy"
)

// quiet is how long a connection must bring nothing to count as silent. It can only make a wrong
// proxy pass, never a right one fail.
const quiet = 50 * time.Millisecond

// TestProxy runs scripts of connections through a proxy to a target that echoes lines.
func TestProxy(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		w := newWorld(t)
		for line := range strings.Lines(text) {
			f := strings.Fields(line)
			if len(f) == 0 || f[0] == "#" {
				continue
			}
			w.run(t, f)
		}
	})
}

// world is a proxy before an echoing target, and connections through it by name.
type world struct {
	proxy *faultproxy.Proxy
	conns map[string]net.Conn
}

func newWorld(t *testing.T) *world {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	go echo(target)
	p, err := faultproxy.New(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return &world{proxy: p, conns: map[string]net.Conn{}}
}

// echo answers each line with itself.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}()
	}
}

// run carries out one line of a script.
func (w *world) run(t *testing.T, f []string) {
	t.Helper()
	switch f[0] {
	case "dial":
		c, err := net.Dial("tcp", w.proxy.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		w.conns[f[1]] = c
	case "echoes":
		w.expect(t, f[1], nil)
	case "silent":
		w.expect(t, f[1], os.ErrDeadlineExceeded)
	case "broken":
		w.expect(t, f[1], syscall.ECONNRESET)
	case "silence":
		w.proxy.Silence(directions[f[1]])
	case "reset":
		w.proxy.Reset()
	case "cut":
		w.proxy.Cut(directions[f[1]])
	case "heal":
		w.proxy.Heal()
	case "refuse":
		w.must(t, w.proxy.Refuse())
	case "mute":
		w.must(t, w.proxy.Mute())
	case "admit":
		w.must(t, w.proxy.Admit())
	case "refused":
		w.dialFails(t, isRefused)
	case "unanswered":
		w.dialFails(t, os.IsTimeout)
	case "late": // what was sent before comes now
		w.read(t, f[1], nil, time.Minute)
	default:
		t.Fatalf("unknown line %q", f)
	}
}

// must ends the test at an error.
func (w *world) must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// dialFails says how a connect fails.
func (w *world) dialFails(t *testing.T, so func(error) bool) {
	t.Helper()
	c, err := net.DialTimeout("tcp", w.proxy.Addr(), quiet)
	if err == nil {
		_ = c.Close()
	}
	if op, ok := errors.AsType[*net.OpError](err); !ok || !so(op) {
		t.Fatalf("a connect got %v", err)
	}
}

// isRefused reports whether an error tells of a closed port.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

var directions = map[string]faultproxy.Direction{
	"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both,
}

// expect sends a line and says what becomes of reading it back.
func (w *world) expect(t *testing.T, name string, want error) {
	t.Helper()
	if _, err := io.WriteString(w.conns[name], "hello\n"); err != nil {
		if !errors.Is(err, want) {
			t.Fatal(name, err)
		}
		return // the kernel tells of a reset once, here or below
	}
	limit := time.Minute
	if errors.Is(want, os.ErrDeadlineExceeded) {
		limit = quiet
	}
	w.read(t, name, want, limit)
}

// read reads one line.
func (w *world) read(t *testing.T, name string, want error, limit time.Duration) {
	t.Helper()
	c := w.conns[name]
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(name, err)
	}
	got, err := bufio.NewReader(c).ReadString('\n')
	if !errors.Is(err, want) || want == nil && got != "hello\n" {
		t.Fatalf("%s: got %q, %v; want %v", name, got, err, want)
	}
}
