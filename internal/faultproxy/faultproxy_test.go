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

// silenceTimeout is how long nothing must arrive on a connection for it to
// count as silent. If silenceTimeout is too short, a faulty proxy may pass the
// test, but a correct one never fails it.
const silenceTimeout = 50 * time.Millisecond

// TestProxy runs scripts that open connections through a proxy to a target that
// echoes what it receives.
func TestProxy(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		fx := newFixture(t)
		for line := range strings.Lines(text) {
			fields := strings.Fields(line)
			if len(fields) == 0 || fields[0] == "#" {
				continue
			}
			fx.run(t, fields)
		}
	})
}

// fixture is a proxy in front of an echoing target, and the connections through
// it by their names in the script.
type fixture struct {
	proxy *faultproxy.Proxy
	conns map[string]net.Conn
}

func newFixture(t *testing.T) *fixture {
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
	return &fixture{proxy: p, conns: map[string]net.Conn{}}
}

// echo sends back what each connection receives.
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

// run executes one line of a script.
func (fx *fixture) run(t *testing.T, fields []string) {
	t.Helper()
	switch fields[0] {
	case "dial":
		c, err := net.Dial("tcp", fx.proxy.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		fx.conns[fields[1]] = c
	case "echoes":
		fx.expect(t, fields[1], nil)
	case "silent":
		fx.expect(t, fields[1], os.ErrDeadlineExceeded)
	case "broken":
		fx.expect(t, fields[1], syscall.ECONNRESET)
	case "silence":
		fx.proxy.Silence(directions[fields[1]])
	case "reset":
		fx.proxy.Reset()
	case "cut":
		fx.proxy.Cut(directions[fields[1]])
	case "heal":
		fx.proxy.Heal()
	case "refuse":
		fx.must(t, fx.proxy.RefuseConnects())
	case "mute":
		fx.must(t, fx.proxy.IgnoreConnects())
	case "admit":
		fx.must(t, fx.proxy.AcceptConnects())
	case "refused":
		fx.dialFails(t, isRefused)
	case "unanswered":
		fx.dialFails(t, os.IsTimeout)
	case "late": // reads the echo of an earlier line
		fx.read(t, fields[1], nil, time.Minute)
	default:
		t.Fatalf("unknown script line %q", fields)
	}
}

// must fails the test if there is an error.
func (fx *fixture) must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// dialFails requires that a connect fails with an error that matches.
func (fx *fixture) dialFails(t *testing.T, matches func(error) bool) {
	t.Helper()
	c, err := net.DialTimeout("tcp", fx.proxy.Addr(), silenceTimeout)
	if err == nil {
		_ = c.Close()
	}
	if op, ok := errors.AsType[*net.OpError](err); !ok || !matches(op) {
		t.Fatalf("a connect returned an unexpected error: %v", err)
	}
}

// isRefused reports whether an error says that the port is closed.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

var directions = map[string]faultproxy.Direction{
	"to-target": faultproxy.ToTarget, "from-target": faultproxy.FromTarget, "both": faultproxy.Both,
}

// expect writes a line and requires that reading its echo succeeds, or fails
// with the error want.
func (fx *fixture) expect(t *testing.T, name string, want error) {
	t.Helper()
	if _, err := io.WriteString(fx.conns[name], "hello\n"); err != nil {
		if !errors.Is(err, want) {
			t.Fatal(name, err)
		}
		return // the kernel reports a reset once: here, or at the read below
	}
	limit := time.Minute
	if errors.Is(want, os.ErrDeadlineExceeded) {
		limit = silenceTimeout
	}
	fx.read(t, name, want, limit)
}

// read reads one line and compares the line and the error with what is
// expected.
func (fx *fixture) read(t *testing.T, name string, want error, limit time.Duration) {
	t.Helper()
	c := fx.conns[name]
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(name, err)
	}
	got, err := bufio.NewReader(c).ReadString('\n')
	if !errors.Is(err, want) || want == nil && got != "hello\n" {
		t.Fatalf("%s: got %q, %v; want %v", name, got, err, want)
	}
}
