package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/edge"
	"curlewsill.org/curlewsill/internal/trace"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// late answers every request after a while, longer than an answer may take to be taken.
type late struct{ edge *edge.Edge }

// Offer implements edge.Core.
func (l *late) Offer(ev node.Event) bool {
	q := ev.(node.Arrived).Request
	time.AfterFunc(time.Minute, func() { l.edge.Reply(route.Reply{Request: q.ID, Code: route.CodeInterrupted, Ran: route.RanUnknown}) })
	return true
}

// Push implements edge.Core.
func (*late) Push(context.Context, node.Event) bool { return true }

// TestUnread checks that a caller that has gone silent and takes no answer doesn't hold its
// connection for good, and that one that waits long for its answer gets it.
//
// Symptom: a caller that doesn't read kept its connection and, with a long answer, its place among
// the requests under way. Cause: a write to it had no time limit, and its kernel answers TCP's
// probes.
func TestUnread(t *testing.T) {
	for _, reads := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			core := &late{}
			tracer := trace.With("h", sdk.NewSimpleSpanProcessor(tracetest.NewInMemoryExporter()), 0)
			core.edge = edge.New("h", core, edge.Clients{}, tracer, unit.KiB, 1, func(id.Service, route.Code, route.Ran, time.Duration) {})
			ended := make(chan struct{})
			s := &http.Server{Handler: core.edge, ReadHeaderTimeout: time.Minute, ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					close(ended)
				}
			}}
			lis := &single{conn: far, closed: make(chan struct{})}
			go func() { _ = s.Serve(lis) }()
			if _, err := io.WriteString(near, "GET /services/svc/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if reads {
				data, err := io.ReadAll(near)
				if err != nil || len(data) == 0 {
					t.Errorf("got %q, %v", data, err)
				}
			}
			select {
			case <-ended:
			case <-time.After(time.Hour):
				t.Error("the connection stays")
			}
			_, _, _ = s.Close(), near.Close(), far.Close()
			synctest.Wait()
		})
	}
}

// single is a listener with one connection.
type single struct {
	conn   net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *single) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *single) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (*single) Addr() net.Addr { return &net.TCPAddr{} }
