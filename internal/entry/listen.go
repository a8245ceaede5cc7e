package entry

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"curlewsill.org/curlewsill/internal/relay"
)

const (
	// headerTimeout and idleTimeout bound slow and silent clients.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// requestTimeout bounds a request to readiness, metrics or peers, which have no bodies, and
	// answerTimeout the time in which an answer must be taken.
	requestTimeout = 5 * time.Second
	answerTimeout  = 5 * time.Second
	// bodyTimeout bounds the body of a client's call, however long it may take: a job of 256 kB
	// then needs 26 kB a second.
	bodyTimeout = 10 * time.Second
)

// listen opens the four listeners, the one for peers last, and prepares their servers; Run
// serves on them.
func (h *Host) listen() error {
	for i, s := range h.newServers() {
		lis, err := net.Listen("tcp", []string{h.settings.Callers, h.settings.Readiness, h.settings.Metrics, h.settings.Peers}[i])
		if err != nil {
			return fmt.Errorf("entry: %w", err)
		}
		h.listeners = append(h.listeners, lis)
		h.servers = append(h.servers, s)
	}
	h.peers = h.listeners[len(h.listeners)-1].Addr().String()
	return nil
}

// newServers returns the servers of the four listeners. The clients' own bounds its calls itself,
// because a client says how long its call may take.
func (h *Host) newServers() []*http.Server {
	out := []*http.Server{{Handler: newFront(h)}}
	for _, handler := range []http.Handler{http.HandlerFunc(h.serveReadiness), h.metrics.handler(), h.peerHandler()} {
		out = append(out, &http.Server{Handler: handler, ReadTimeout: requestTimeout, WriteTimeout: answerTimeout})
	}
	for _, s := range out {
		s.ReadHeaderTimeout, s.IdleTimeout = headerTimeout, idleTimeout
	}
	return out
}

// peerHandler takes the calls of other entry hosts.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(string(relay.RouteStore), h.path.Handler())
	mux.Handle(string(relay.RouteAdvice), h.advicePath.Handler())
	mux.Handle(string(relay.RouteRecords), h.recordsPath.Handler())
	mux.Handle(string(relay.RouteWatch), h.watchPath.Handler())
	return mux
}

// close closes the listeners and what is open on them.
func (h *Host) close() {
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.links.Close() // the servers don't know what was taken over from them
}

// Callers returns the address on which clients are answered.
func (h *Host) Callers() string { return h.listeners[0].Addr().String() }

// serveReadiness tells the balancer whether to send clients here.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
