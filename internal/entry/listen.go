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
)

// listen opens the four listeners, the one for peers last, and prepares their servers; Run
// serves on them.
func (h *Host) listen() error {
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{h.settings.Callers, newFront(h)},
		{h.settings.Readiness, http.HandlerFunc(h.serveReadiness)},
		{h.settings.Metrics, h.metrics.handler()},
		{h.settings.Peers, h.peerHandler()},
	} {
		lis, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("entry: %w", err)
		}
		h.listeners = append(h.listeners, lis)
		h.servers = append(h.servers, &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
	}
	h.peers = h.listeners[len(h.listeners)-1].Addr().String()
	return nil
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
}

// Callers returns the address on which clients are answered.
func (h *Host) Callers() string { return h.listeners[0].Addr().String() }

// serveReadiness tells the balancer whether to send clients here.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
