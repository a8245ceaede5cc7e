package entry

import (
	"fmt"
	"net/http"
	"time"

	"curlewsill.org/curlewsill/internal/intake"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/settings"
)

const (
	// headerTimeout and idleTimeout limit how long a slow or silent client may
	// take for its header, and how long an idle connection stays open.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// requestTimeout limits the time for receiving a request for readiness or
	// metrics, or a request from a peer. These requests have no bodies.
	// answerTimeout limits the time for sending an answer.
	requestTimeout = 5 * time.Second
	answerTimeout  = 5 * time.Second
	// bodyTimeout limits the time for receiving the body of a client's call,
	// even if the call itself may take longer. A job of 256 kB must therefore
	// arrive at 26 kB/s at least.
	bodyTimeout = 10 * time.Second
	// bodyShare is the part of the memory for clients up to which bodies are
	// received.
	bodyShare = 0.75
	// bufferShare is the part of the memory for buffers in the kernel, as a divisor.
	bufferShare = 12
	// systemShare is how many times as much clients may hold as all callers of the
	// other listeners may: the load balancer, the collector of metrics, and other
	// hosts until they have opened a link.
	systemShare = 4
)

// refusal is the answer for connections of clients that aren't accepted.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// clientLimits returns the limits for the listener for clients, and for the others.
func clientLimits(s settings.Site) (clients, system intake.Limits) {
	clients = intake.Limits{
		Connections: s.Clients.Connections, Memory: s.Clients.Memory, BodyShare: bodyShare, Header: s.Clients.Header,
		Buffers: s.Memory / bufferShare, Refusal: refusal,
	}
	system = clients
	system.Connections, system.Memory, system.Buffers = (clients.Connections+1)/2, clients.Memory/systemShare, clients.Buffers/systemShare
	return clients, system
}

// listen opens the four listeners, the one for peers last, and creates their
// servers. Run starts the servers.
func (h *Host) listen() error {
	for i, s := range h.newServers() {
		in := h.system
		if i == 0 {
			in = h.clients
		}
		in.Attach(s)
		lis, err := in.Listen([]string{h.settings.Callers, h.settings.Readiness, h.settings.Metrics, h.settings.Peers}[i])
		if err != nil {
			return fmt.Errorf("entry: %w", err)
		}
		h.listeners = append(h.listeners, lis)
		h.servers = append(h.servers, s)
	}
	h.peers = h.listeners[len(h.listeners)-1].Addr().String()
	return nil
}

// newServers returns the servers of the four listeners. The server for clients
// sets no read or write timeout: clientHandler limits each call itself, because
// clients name their own deadlines.
func (h *Host) newServers() []*http.Server {
	out := []*http.Server{{Handler: newClientHandler(h)}}
	for _, handler := range []http.Handler{http.HandlerFunc(h.serveReadiness), h.metrics.handler(), h.peerHandler()} {
		out = append(out, &http.Server{Handler: handler, ReadTimeout: requestTimeout, WriteTimeout: answerTimeout})
	}
	for _, s := range out {
		s.ReadHeaderTimeout, s.IdleTimeout = headerTimeout, idleTimeout
	}
	return out
}

// peerHandler serves the calls of other entry hosts.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(string(relay.RouteStore), h.storePath.Handler())
	mux.Handle(string(relay.RouteAdvice), h.advicePath.Handler())
	mux.Handle(string(relay.RouteRecords), h.recordsPath.Handler())
	mux.Handle(string(relay.RouteWatch), h.watchPath.Handler())
	mux.Handle(string(relay.RouteJobs), h.jobsPath.Handler())
	return mux
}

// close closes the listeners and all open connections.
func (h *Host) close() {
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.links.Close() // the servers don't track hijacked connections
}

// Callers returns the address of the listener for clients.
func (h *Host) Callers() string { return h.listeners[0].Addr().String() }

// serveReadiness reports to the load balancer whether it should send clients to
// this host.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
