// Package daemon assembles the components of an entry host and runs them.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/internal/admin"
	"curlewsill.org/curlewsill/internal/edge"
	"curlewsill.org/curlewsill/internal/host"
	"curlewsill.org/curlewsill/internal/intake"
	"curlewsill.org/curlewsill/internal/peerlink"
	"curlewsill.org/curlewsill/internal/platform/hosts"
	"curlewsill.org/curlewsill/internal/platform/logs"
	"curlewsill.org/curlewsill/internal/platform/wire"
	"curlewsill.org/curlewsill/internal/platform/workers"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/internal/stats"
	"curlewsill.org/curlewsill/internal/trace"
)

const (
	// headerTimeout bounds the time in which a caller must send a request's headers,
	// readTimeout that for the whole request. idleTimeout is how long an idle
	// connection is kept open.
	headerTimeout = 5 * time.Second
	readTimeout   = time.Minute
	idleTimeout   = 2 * time.Minute
	// memoryShare is the part of the memory that the runtime uses as its soft limit.
	// What remains is for the program itself and for the buffers of the kernel.
	memoryShare = 0.55
	// bodyShare is the part of the memory for callers up to which requests are
	// received. The rest remains for answers.
	bodyShare = 0.5
	// bufferShare is the part of the memory for buffers in the kernel, as a divisor.
	bufferShare = 12
	// systemShare is how many times as much callers may hold as operators and other
	// hosts may, as long as these have not opened a link.
	systemShare = 4
	// descriptorShare is the part of the process's descriptors for connections of
	// callers, as a divisor.
	descriptorShare = 4
	// idleConns is how many idle connections to one backend server are kept. The
	// router bounds the number of open connections.
	idleConns = 64
	// announceEvery is the interval at which the host refreshes its entry in the host
	// list.
	announceEvery = time.Second
)

// refusal is the answer for connections that aren't accepted.
const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + edge.RanHeader + ": no\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// ErrToken reports a token file that holds no token.
var ErrToken = errors.New("daemon: empty token file")

// Daemon is one entry host with its listeners.
type Daemon struct {
	settings settings.Settings
	log      *zap.Logger
	host     *host.Host
	tracer   *trace.Tracer
	hosts    *hosts.Client
	edge     *edge.Edge
	// clients bounds what callers make this host hold, system what operators and other
	// hosts do.
	clients, system *intake.Intake
	servers         []*http.Server
	listeners       []net.Listener
	stopping        sync.Once
}

// New builds a daemon and opens its listeners, so that its addresses are known before
// Run is called.
func New(ctx context.Context, s settings.Settings, log *zap.Logger) (*Daemon, error) {
	token, err := readToken(s.TokenFile)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * memoryShare))
	tracer, err := trace.New(ctx, s.Host, s.TraceURL, s.TraceShare)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, log: log.With(zap.String("host", string(s.Host))), tracer: tracer}
	platform := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: idleTimeout}}
	d.hosts = hosts.New(s.HostsURL, platform)
	metrics := stats.New()
	d.host = host.New(s.Host, d.log, host.Platform{
		Logs:    logs.New(s.LogURL, platform),
		Hosts:   d.hosts,
		Workers: workers.New(s.WorkersURL, platform),
	}, &http.Client{}, s.CertFile != "", metrics.CountFault)
	d.edge = edge.New(s.Host, d.host, edge.Clients{Requests: backendClient(), Probes: backendClient()}, tracer, s.BodyLimit, s.Requests, metrics.ObserveRequest)
	metrics.RegisterHost(d.host)
	metrics.RegisterLinks(d.host.Links())
	if err := d.limitClients(metrics.Registry()); err != nil {
		return nil, err
	}
	api := admin.New(d.host, token, metrics.Registry(), tracer)
	peers := http.NewServeMux()
	peers.Handle(peerlink.Path, d.host.Links())
	callers := http.NewServeMux()
	callers.Handle("/", d.edge)
	for _, l := range []struct {
		address string
		handler http.Handler
		limits  *intake.Intake
	}{{s.Callers, callers, d.clients}, {s.Operators, api, d.system}, {s.Peers, peers, d.system}} {
		if err := d.listen(l.address, l.handler, l.limits); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func readToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("daemon: token file: %w", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", fmt.Errorf("%w: %s", ErrToken, file)
	}
	return token, nil
}

// backendClient returns a client that forwards responses unchanged: it follows no
// redirects and decompresses no bodies.
func backendClient() *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			MaxIdleConns: 0, MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}
}

// limitClients sets the limits for the listeners, and registers their metrics.
func (d *Daemon) limitClients(r *prometheus.Registry) error {
	var open syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &open); err != nil {
		return fmt.Errorf("daemon: limit of open files: %w", err)
	}
	c := d.settings.Clients
	clients := intake.Limits{
		Connections: int(max(1, min(uint64(c.Connections), open.Cur/descriptorShare))), Memory: c.Memory, BodyShare: bodyShare, Header: c.Header,
		Buffers: d.settings.MemoryLimit / bufferShare, Refusal: refusal,
	}
	system := clients
	system.Connections, system.Memory, system.Buffers = (clients.Connections+1)/2, clients.Memory/systemShare, clients.Buffers/systemShare
	d.clients = intake.New(clients, d.log.With(zap.String("listener", "clients")))
	d.system = intake.New(system, d.log.With(zap.String("listener", "system")))
	r.MustRegister(d.clients.Collectors("clients")...)
	r.MustRegister(d.system.Collectors("system")...)
	return nil
}

func (d *Daemon) listen(address string, h http.Handler, in *intake.Intake) error {
	l, err := in.Listen(address)
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	in.Attach(s)
	d.listeners, d.servers = append(d.listeners, l), append(d.servers, s)
	return nil
}

// Callers returns the address for callers.
func (d *Daemon) Callers() string { return d.listeners[0].Addr().String() }

// Operators returns the address of the operators' interface.
func (d *Daemon) Operators() string { return d.listeners[1].Addr().String() }

// Peers returns the address for connections from other hosts.
func (d *Daemon) Peers() string { return d.listeners[2].Addr().String() }

// Stop begins a planned stop: the host keeps running until all requests in flight have
// a response.
func (d *Daemon) Stop() {
	d.stopping.Do(func() { d.host.Push(context.Background(), node.Stop{}) })
}

// Run serves requests until a planned stop is complete or ctx is done.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for i, s := range d.servers {
		wg.Go(func() { d.serve(s, d.listeners[i]) })
	}
	wg.Go(func() { d.announce(ctx) })
	d.log.Info("listening", zap.String("callers", d.Callers()),
		zap.String("operators", d.Operators()), zap.String("peers", d.Peers()))
	d.host.Run(ctx, d.edge)
	// Close the callers' server first and gracefully: all responses are complete, so
	// only the connections remain.
	grace, stop := context.WithTimeout(context.WithoutCancel(ctx), d.settings.StopWait)
	defer stop()
	err := d.servers[0].Shutdown(grace)
	for _, s := range d.servers[1:] {
		err = errors.Join(err, s.Close())
	}
	cancel()
	wg.Wait()
	return errors.Join(err, d.tracer.Stop(grace))
}

func (d *Daemon) serve(s *http.Server, l net.Listener) {
	var err error
	if d.settings.CertFile != "" {
		err = s.ServeTLS(l, d.settings.CertFile, d.settings.KeyFile)
	} else {
		err = s.Serve(l)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("listener ended", zap.Error(err))
	}
}

// announce keeps the host's entry in the platform's host list up to date.
func (d *Daemon) announce(ctx context.Context) {
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	a := wire.Announcement{Entry: &wire.EntryHost{ID: d.settings.Host, Peers: d.Peers()}}
	for {
		if err := d.hosts.Announce(ctx, string(d.settings.Host), a); err != nil && ctx.Err() == nil {
			d.log.Debug("host list not reachable", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
