// Package demo runs the whole system in one process, on free loopback ports:
// stand-ins of the platform, three entry hosts and one of the shipped sites. It
// sends requests, submits gangs and changes the configuration for a short time,
// with an outage of the log in the middle.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/examples"
	"curlewsill.org/curlewsill/internal/client"
	"curlewsill.org/curlewsill/internal/daemon"
	"curlewsill.org/curlewsill/internal/intent"
	"curlewsill.org/curlewsill/internal/load"
	"curlewsill.org/curlewsill/internal/platform/hosts"
	"curlewsill.org/curlewsill/internal/platform/wire"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/internal/standin/backendsvc"
	"curlewsill.org/curlewsill/internal/standin/logsvc"
	"curlewsill.org/curlewsill/internal/standin/workersvc"
)

// The parameters of the demo.
const (
	entryHosts  = 3
	backends    = 50
	slots       = 8
	work        = 15 * time.Millisecond
	keepRecords = 100_000
	requestRate = 300
	onceShare   = 0.2
	bodySize    = 512
	outage      = 4 * time.Second
	// beforeOutage and afterOutage are the times of normal operation around the
	// outage.
	beforeOutage  = 4 * time.Second
	afterOutage   = 6 * time.Second
	readyTimeout  = 15 * time.Second
	tokenFileMode = 0o600
)

// The errors of a run.
var (
	// ErrNotReady reports that the entry hosts did not become ready in time.
	ErrNotReady = errors.New("demo: the entry hosts did not become ready in time")
	// ErrViolated reports that an invariant did not hold.
	ErrViolated = errors.New("demo: an invariant did not hold")
)

// Demo is a running system.
type Demo struct {
	site      string
	progress  io.Writer
	dir       string
	tokenFile string
	urls      []string

	logs      *logsvc.Service
	workers   *workersvc.Service
	backends  *backendsvc.Service
	daemons   []*daemon.Daemon
	clients   []*client.Client
	customers []id.Customer
	service   id.Service

	stop    context.CancelFunc
	wg      sync.WaitGroup
	closers []func()
}

// Start starts the system for a site and puts the site's configuration in
// force. It writes a line for each of its steps to progress. The caller must
// Close the Demo.
func Start(ctx context.Context, site string, progress io.Writer) (*Demo, error) {
	d := &Demo{site: site, progress: progress}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Callers returns the first host's URL for callers.
func (d *Demo) Callers() string { return "http://" + d.daemons[0].Callers() }

// Operators returns the first host's URL for operators.
func (d *Demo) Operators() string { return "http://" + d.daemons[0].Operators() }

// TokenFile returns the path of the file with the operators' token.
func (d *Demo) TokenFile() string { return d.tokenFile }

// Run runs the demo for a site and returns its report. The error is ErrViolated
// if an invariant did not hold.
func Run(ctx context.Context, site string, progress io.Writer) (Report, error) {
	d, err := Start(ctx, site, progress)
	if err != nil {
		return Report{}, err
	}
	defer d.Close()
	rep, err := d.run(ctx)
	if err != nil {
		return rep, err
	}
	if len(rep.Violations) > 0 {
		return rep, ErrViolated
	}
	return rep, nil
}

func (d *Demo) progressf(format string, args ...any) { fmt.Fprintf(d.progress, format+"\n", args...) }

// start starts the stand-ins and the hosts, and puts the site's configuration
// in force.
func (d *Demo) start(ctx context.Context) error {
	ctx, d.stop = context.WithCancel(ctx)
	dir, err := os.MkdirTemp("", "curlewsill-demo")
	if err != nil {
		return err
	}
	d.dir = dir
	d.tokenFile = filepath.Join(dir, "token")
	if err := os.WriteFile(d.tokenFile, []byte("demo"), tokenFileMode); err != nil {
		return err
	}
	if err := d.startPlatform(ctx); err != nil {
		return err
	}
	d.progressf("the platform's stand-ins are running: the log, %d backend servers and the workers", backends)
	for i := range entryHosts {
		if err := d.startHost(ctx, i); err != nil {
			return err
		}
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	d.progressf("%d entry hosts are ready", entryHosts)
	return d.applySite(ctx)
}

// startPlatform starts the stand-ins and announces the backend servers.
func (d *Demo) startPlatform(ctx context.Context) error {
	d.logs = logsvc.New(keepRecords, 0)
	d.workers = workersvc.New()
	for _, h := range []http.Handler{d.logs, d.workers} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
		d.urls = append(d.urls, "http://"+l.Addr().String())
		d.closers = append(d.closers, func() { _ = s.Close() })
		go func() { _ = s.Serve(l) }()
	}
	b, err := backendsvc.New(backends, slots, work)
	if err != nil {
		return err
	}
	d.backends = b
	d.closers = append(d.closers, b.Close)
	changes, err := d.changes()
	if err != nil {
		return err
	}
	for _, c := range changes {
		if c.SetService != nil {
			d.service = c.SetService.ID
		}
		if c.SetCustomer != nil {
			d.customers = append(d.customers, c.SetCustomer.ID)
		}
	}
	a := wire.Announcement{Service: d.service}
	for _, addr := range b.Addresses() {
		a.Backends = append(a.Backends, wire.Backend{ID: id.Backend(addr)})
	}
	return hosts.New(d.urls[0], http.DefaultClient).Announce(ctx, "service", a)
}

// changes returns the changes that set up the site's configuration.
func (d *Demo) changes() ([]config.Change, error) {
	data, err := examples.Read(d.site, "site.ini")
	if err != nil {
		return nil, err
	}
	return intent.Parse(d.site+"/site.ini", data)
}

func (d *Demo) startHost(ctx context.Context, i int) error {
	s := settings.Settings{
		Host: id.Host(fmt.Sprintf("entry-%d", i+1)), Domain: "demo",
		Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0",
		LogURL: d.urls[0], HostsURL: d.urls[0], WorkersURL: d.urls[1],
		TokenFile: d.tokenFile, BodyLimit: unit.MiB, Requests: 2048, MemoryLimit: unit.GiB, Clients: settings.EdgeClients(unit.GiB),
		StopWait: time.Minute,
	}
	dm, err := daemon.New(ctx, s, zap.NewNop())
	if err != nil {
		return err
	}
	d.daemons = append(d.daemons, dm)
	d.clients = append(d.clients, client.New("http://"+dm.Operators(), "demo"))
	d.wg.Go(func() { _ = dm.Run(ctx) })
	return nil
}

func (d *Demo) waitReady(ctx context.Context) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		ready := 0
		for _, c := range d.clients {
			if v, err := c.Status(ctx); err == nil && v.State == "ready" && len(v.Peers) == entryHosts && v.Owner.Host != "" {
				ready++
			}
		}
		if ready == entryHosts {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ErrNotReady
}

// applySite plans and confirms the site's configuration.
func (d *Demo) applySite(ctx context.Context) error {
	changes, err := d.changes()
	if err != nil {
		return err
	}
	p, err := d.clients[0].Plan(ctx, changes)
	if err != nil {
		return err
	}
	off, err := d.clients[0].Confirm(ctx, p)
	if err != nil {
		return err
	}
	d.progressf("site %s: plan %s with %d changes is in force at offset %d", d.site, p.ID, len(p.Changes), off)
	return nil
}

// Close stops the hosts by a planned stop, ends the stand-ins and removes the
// files.
func (d *Demo) Close() {
	for _, dm := range d.daemons {
		dm.Stop()
	}
	d.wg.Wait()
	if d.stop != nil {
		d.stop()
	}
	for _, c := range d.closers {
		c()
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}

// requests sends requests to all hosts for the given time and returns the
// report on their answers.
func (d *Demo) requests(ctx context.Context, length time.Duration) (load.Report, error) {
	r := load.Config{
		Service: d.service, Customers: d.customers, Rate: requestRate, Duration: length,
		OnceShare: onceShare, Body: bodySize, Name: "demo", Seed: 1,
	}
	for _, dm := range d.daemons {
		r.Targets = append(r.Targets, "http://"+dm.Callers())
	}
	return load.Do(ctx, r, func(context.Context) (backendsvc.Ledger, error) { return d.backends.Ledger(), nil })
}
