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

// slowCore replies to every request after a minute, longer than the edge's
// timeout for writing a response.
type slowCore struct{ edge *edge.Edge }

// Offer implements edge.Core.
func (s *slowCore) Offer(ev node.Event) bool {
	q := ev.(node.RequestArrived).Request
	time.AfterFunc(time.Minute, func() { s.edge.Reply(route.Reply{Request: q.ID, Code: route.CodeInterrupted, Ran: route.RanUnknown}) })
	return true
}

// Push implements edge.Core.
func (*slowCore) Push(context.Context, node.Event) bool { return true }

// TestUnreadResponse checks that the connection of a caller that doesn't read
// its response is closed, and that a caller that waits long for its response
// receives it.
//
// It guards against writes without a deadline. Such a caller would hold its
// connection forever and, with a long response, also its slot among the
// requests in flight, because its kernel still answers TCP keep-alive probes.
func TestUnreadResponse(t *testing.T) {
	for _, reads := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			clientConn, serverConn := net.Pipe()
			core := &slowCore{}
			tracer := trace.NewWithProcessor("h", sdk.NewSimpleSpanProcessor(tracetest.NewInMemoryExporter()), 0)
			core.edge = edge.New("h", core, edge.Clients{}, tracer, unit.KiB, 1, func(id.Service, route.Code, route.Ran, time.Duration) {})
			ended := make(chan struct{})
			s := &http.Server{Handler: core.edge, ReadHeaderTimeout: time.Minute, ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					close(ended)
				}
			}}
			lis := &singleListener{conn: serverConn, closed: make(chan struct{})}
			go func() { _ = s.Serve(lis) }()
			if _, err := io.WriteString(clientConn, "GET /services/svc/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if reads {
				data, err := io.ReadAll(clientConn)
				if err != nil || len(data) == 0 {
					t.Errorf("got %q, %v", data, err)
				}
			}
			select {
			case <-ended:
			case <-time.After(time.Hour):
				t.Error("the connection was not closed")
			}
			_, _, _ = s.Close(), clientConn.Close(), serverConn.Close()
			synctest.Wait()
		})
	}
}

// singleListener is a listener that accepts a single connection.
type singleListener struct {
	conn   net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *singleListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *singleListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (*singleListener) Addr() net.Addr { return &net.TCPAddr{} }
