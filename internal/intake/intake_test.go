package intake_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/intake"
)

// testLimits are limits that two bodies of 512 KiB together exceed.
var testLimits = intake.Limits{
	Connections: 8, Memory: 900 * unit.KiB, BodyShare: 1, Header: 4 * unit.KiB, Buffers: unit.MiB,
	Refusal: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// maxTestBody is the greatest body that the test's handler receives.
const maxTestBody = 512 * unit.KiB

// serve runs a server that answers a body with its size.
func serve(t *testing.T, l intake.Limits) (string, *intake.Intake) {
	i := intake.New(l, zap.NewNop())
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := intake.ReadBody(w, r, maxTestBody)
		switch {
		case errors.Is(err, intake.ErrRefused):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		default:
			fmt.Fprint(w, b.Len(), nil)
		}
	})}
	i.Attach(s)
	lis, err := i.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(lis) }()
	t.Cleanup(func() { _ = s.Close() })
	return lis.Addr().String(), i
}

// dial opens a connection and sends text.
func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// post returns a request whose body lacks some bytes at its end.
func post(size, missing int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-missing))
}

// status reads an answer and returns its status, and what follows it.
func status(t *testing.T, in *bufio.Reader) (int, string) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// await waits until the usage is as wanted.
func await(t *testing.T, i *intake.Intake, wanted func(intake.Usage) bool) {
	for end := time.Now().Add(time.Minute); !wanted(i.Usage()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("usage: %+v", i.Usage())
		}
	}
}

// TestStoppedBodiesGiveWay guards against unfinished bodies that together take
// more than the memory, and against a client that is made to give way without being
// told that its request wasn't carried out.
func TestStoppedBodiesGiveWay(t *testing.T) {
	l := testLimits
	l.Connections = 10_000 // refusals are not kept for their clients while most places are taken
	address, i := serve(t, l)
	_, stopped := dial(t, address, post(int(maxTestBody), 1))
	await(t, i, func(u intake.Usage) bool { return u.Memory >= maxTestBody })
	for {
		c, second := dial(t, address, post(int(maxTestBody), 0))
		got, body := status(t, second)
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
		if got == http.StatusOK && body == fmt.Sprint(int(maxTestBody), nil) {
			break
		} else if got != http.StatusServiceUnavailable {
			t.Fatalf("whole body: %d %s, want 200, or 503 until the first one has stopped", got, body)
		}
	}
	if got, _ := status(t, stopped); got != http.StatusServiceUnavailable {
		t.Errorf("unfinished body: %d, want 503", got)
	}
	await(t, i, func(u intake.Usage) bool { return u.Memory == 0 && u.Evicted > 0 })
}

// TestIdleConnectionsGiveWay guards against connections beyond the limit, and
// against a new client that finds no place beside idle ones.
func TestIdleConnectionsGiveWay(t *testing.T) {
	address, i := serve(t, testLimits)
	for range 3 * testLimits.Connections {
		dial(t, address, "")
	}
	_, in := dial(t, address, post(10, 0))
	if got, _ := status(t, in); got != http.StatusOK {
		t.Errorf("got %d, want 200", got)
	}
	await(t, i, func(u intake.Usage) bool { return u.Connections <= testLimits.Connections })
}

// TestRefusalIsDelivered guards against a refusal that is lost because its client still
// sends when the connection is closed.
func TestRefusalIsDelivered(t *testing.T) {
	l := testLimits
	l.Connections = 20
	address, i := serve(t, l)
	c, in := dial(t, address, post(int(maxTestBody), 40000))
	await(t, i, func(u intake.Usage) bool { return u.Memory >= maxTestBody })
	for n := range 5 {
		_, refused := dial(t, address, post(int(maxTestBody), 0))
		if got, _ := status(t, refused); got != http.StatusServiceUnavailable {
			t.Errorf("request %d: %d, want 503", n, got)
		}
	}
	if _, err := io.WriteString(c, strings.Repeat("x", 40000)); err != nil {
		t.Fatal(err)
	}
	if got, _ := status(t, in); got != http.StatusOK {
		t.Errorf("the admitted request: %d, want 200", got)
	}
}

// TestUnreadAnswersGiveWay guards against a new client that finds no place beside ones
// that don't read their answers.
func TestUnreadAnswersGiveWay(t *testing.T) {
	l := testLimits
	l.Connections, l.Memory = 100, 64*unit.MiB
	address, i := serve(t, l)
	for range 100 {
		dial(t, address, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 20_000))
	}
	for range 200 {
		_, in := dial(t, address, post(10, 0))
		if got, _ := status(t, in); got != http.StatusOK {
			t.Fatalf("got %d, want 200", got)
		}
	}
	await(t, i, func(u intake.Usage) bool { return u.Evicted > 0 })
}

// TestKeptConnection guards against memory that stays reserved after a request on a
// connection that is kept open.
func TestKeptConnection(t *testing.T) {
	address, i := serve(t, testLimits)
	c, in := dial(t, address, "")
	for n := range 20 {
		if _, err := io.WriteString(c, post(int(maxTestBody), 0)); err != nil {
			t.Fatal(err)
		}
		if got, body := status(t, in); got != http.StatusOK {
			t.Fatalf("request %d: %d %s, want 200", n, got, body)
		}
	}
	await(t, i, func(u intake.Usage) bool { return u.Memory == 0 })
}

// TestBodySizes guards against bodies whose sizes are at the bounds of a block or of
// the limit.
func TestBodySizes(t *testing.T) {
	l := testLimits
	l.Memory = 64 * unit.MiB
	address, _ := serve(t, l)
	for size, want := range map[int]int{0: 200, 1: 200, 16383: 200, 16384: 200, 16385: 200, 524287: 200, 524288: 200, 524289: 413} {
		chunked := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
		if size == 0 {
			chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		}
		for _, text := range []string{post(size, 0), chunked} {
			_, in := dial(t, address, text)
			got, body := status(t, in)
			if got != want || got == 200 && body != fmt.Sprint(size, nil) {
				t.Errorf("%d bytes: %d %s, want %d", size, got, body, want)
			}
		}
	}
}

// TestHeadTooLarge guards against heads over the limit, and against heads that are
// rejected although they are within it.
func TestHeadTooLarge(t *testing.T) {
	l := testLimits
	l.Memory = unit.MiB
	address, _ := serve(t, l)
	for size, want := range map[int]int{4000: http.StatusOK, 12000: http.StatusRequestHeaderFieldsTooLarge} {
		_, in := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", size)+"\r\n\r\n")
		if got, _ := status(t, in); got != want {
			t.Errorf("%d bytes: got %d, want %d", size, got, want)
		}
	}
}
