// Package entry runs one entry host on the users' platform.
//
// One goroutine decides: it owns the table of jobs, the configuration, the election
// and, on the owner, the dispatcher. The others read and write the store, order
// workers and answer clients; they hand their news to the deciding goroutine through
// one bounded ring, which pushes back when it is full.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/evacuation"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/upkeep"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/internal/wslink"
	"curlewsill.org/curlewsill/platform"
)

const (
	// events is how many events may wait for the deciding goroutine.
	events = 4096
	// memoryShare is the part of the allowed memory that the runtime aims at.
	memoryShare = 0.6
	// storeConns and workerConns bound the connections to the store and to each
	// worker.
	storeConns  = 8
	workerConns = 8
	// adviceConns bounds those to the advice service, which takes one call at a time.
	adviceConns = 1
	// machineConns bounds those to the service that takes machines down.
	machineConns = 2
)

// event is news for the deciding goroutine, which calls it.
type event func(now unit.Instant)

// Host is one entry host.
type Host struct {
	settings settings.Site
	log      *zap.Logger
	metrics  *metrics
	// links are the connections from and to peers.
	links *wslink.Links
	// path and advicePath lead to the store and to the advice service, by this host and by
	// its peers.
	path, advicePath *relay.Path
	// recordsPath leads to the writers of peers; gatherer is where the owner takes records, nil
	// if that isn't known or is this host.
	recordsPath *relay.Path
	gatherer    atomic.Pointer[string]
	// watchPath leads to what peers tell of the owner; watched is the owner if this host is to
	// ask whether it lives, else nil.
	watchPath *relay.Path
	watched   atomic.Pointer[watched]
	// deciding is set while the deciding goroutine runs.
	deciding atomic.Bool
	store    *platform.Store
	workers  *platform.Workers
	advice   *platform.Advice
	machines *platform.Machines
	// self is unique for this life of the process.
	self   id.Host
	events *ring.Ring[event]
	writer *writer
	// health is what the short calls to the store say of it.
	health *storeHealth

	listeners []net.Listener
	// peers is the address on which peers are answered, with the port that was given if
	// the settings left it open.
	peers   string
	servers []*http.Server

	// catalog is the configuration in force; nil before the first.
	catalog atomic.Pointer[catalog.Catalog]
	// ready is what the balancer is told.
	ready atomic.Bool
	// room is for how many hosts the group has room, as far as this host has seen.
	room atomic.Int32
	// standby is set while this host would be among the first to claim.
	standby atomic.Bool
	// waiting counts the calls that wait for a job's end.
	waiting  atomic.Int32
	stopping atomic.Bool
	stopOnce sync.Once
	stopped  chan struct{}

	clock Clock
	// suspended is for how long the machine had been suspended when that was last looked at.
	suspended time.Duration
	// wake cuts the pause between two reads of the jobs short.
	wake chan struct{}

	// What follows belongs to the deciding goroutine; others reach it by ask and post.
	// loaded is set once table holds the store's state.
	table  *jobtable.Table
	loaded bool
	// waves holds the waves of maintenance that the operator asks for.
	waves map[id.Wave]upkeep.Wave
	// evacuations holds the failure domains that the operator has evacuated; informed is as of when all that the operator has
	// written is known, 0 before it was first read.
	evacuations evacuation.Set
	informed    unit.Instant
	election    *election.Election
	// progress is how much of the progress log the table has.
	progress progressAt
	// owner is nil unless this host schedules; claiming is set while an append that
	// is to make it the owner is under way, takeover from then on until it is.
	owner    *owner
	claiming bool
	takeover *takeover
	// newest is the epoch of the newest claim that was seen.
	newest id.Epoch
	// lost is the last epoch under which this host gave up scheduling.
	lost id.Epoch
	// watchers are told when a job ends.
	watchers watchers
	// peerAddresses holds where the other hosts of the newest look at the group listen for peers.
	peerAddresses map[id.Host]string
	// counts are told to callers.
	counts counts
	// released is the epoch whose owner gave it back.
	released id.Epoch
	// assured is as of when it is known that nobody else was the owner: a read of the jobs left then that told
	// of no other, or all other hosts answered that they know of none.
	assured unit.Instant
	// others are the other hosts that looks at the group have shown lately, by the names that all lives of a host share.
	others map[id.Host]otherHost
}

// Clock tells the time by which a host judges what it believes of others.
type Clock interface {
	// Now never jumps, and goes on while the machine is suspended.
	Now() unit.Instant
	// Suspended is for how long the machine was suspended up to now.
	Suspended() time.Duration
}

// New returns a host whose listeners are open.
func New(s settings.Site, clock Clock, log *zap.Logger) (*Host, error) {
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	self, err := drawName(s.Host)
	if err != nil {
		return nil, err
	}
	m := newMetrics()
	client := func(kind peerKind, conns int) *http.Client {
		return platform.NewHTTPClient(conns, m.deadConns(log, kind))
	}
	links := relay.NewLinks((&net.Dialer{}).DialContext, log)
	path := relay.New("http://"+s.Store, relay.RouteStore, client(toStore, storeConns), links, log)
	advicePath := relay.New("http://"+s.Advice, relay.RouteAdvice, client(toAdvice, adviceConns), links, log)
	h := &Host{
		settings: s, log: log, metrics: m, self: self,
		links: links, path: path, advicePath: advicePath,
		store:    platform.NewStore(s.Store, &http.Client{Transport: path}),
		workers:  platform.NewWorkers(platform.NewWorkerClient(workerConns, m.deadConns(log, toWorkers)), log),
		advice:   platform.NewAdvice(s.Advice, &http.Client{Transport: advicePath}, log),
		machines: platform.NewMachines(s.Machines, s.Host, client(toMachines, machineConns), log),
		events:   ring.New[event](events), stopped: make(chan struct{}),
		table: jobtable.New(), waves: map[id.Wave]upkeep.Wave{}, election: election.New(election.Member{Host: self, Ability: ability(s)}), clock: clock,
		others: map[id.Host]otherHost{}, watchers: watchers{}, counts: counts{}, wake: make(chan struct{}, 1),
	}
	h.recordsPath = relay.New(recordsBase, relay.RouteRecords, &http.Client{Transport: recordsTransport{h}}, links, log)
	h.watchPath = relay.New(watchBase, relay.RouteWatch, &http.Client{Transport: watchTransport{h}}, links, log)
	h.metrics.watchLinks(links)
	h.room.Store(fewMembers)
	h.health = newStoreHealth(log)
	h.writer = newWriter(h.store, h.health, string(self), log, h.metrics)
	if err := h.listen(); err != nil {
		return nil, err
	}
	return h, nil
}

// drawName returns a host's name for this life of the process.
func drawName(host id.Host) (id.Host, error) {
	var draw [4]byte
	if _, err := rand.Read(draw[:]); err != nil {
		return "", fmt.Errorf("entry: %w", err)
	}
	return id.Host(fmt.Sprintf("%s%s%08x", host, lifeMark, binary.BigEndian.Uint32(draw[:]))), nil
}

// lifeMark stands between the name of a host's machine and the draw of its life.
const lifeMark = "#"

// machineOf returns the name that all lives of a host share.
func machineOf(life id.Host) id.Host {
	if i := strings.LastIndex(string(life), lifeMark); i >= 0 {
		return life[:i]
	}
	return life
}

// now is the time by a clock that never jumps, and counts suspensions: what is believed of other machines ages meanwhile.
func (h *Host) now() unit.Instant { return h.clock.Now() }

// post hands news to the deciding goroutine.
func (h *Host) post(ctx context.Context, e event) bool { return h.events.Push(ctx, e) }

// Run serves until ctx is done or Stop has finished.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer h.close()
	h.log.Info("started", zap.String("host", string(h.self)), zap.String("callers", h.Callers()),
		zap.String("readiness", h.listeners[1].Addr().String()), zap.String("peers", h.peers), zap.String("store", h.settings.Store))
	for i, s := range h.servers {
		go func() {
			if err := s.Serve(h.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				h.log.Error("listener-failed", zap.Error(err))
				cancel()
			}
		}()
	}
	go h.writer.run(ctx)
	go h.readJobs(ctx)
	go h.readProgress(ctx)
	go h.readOperator(ctx)
	go h.keepMembership(ctx)
	go h.watchOwner(ctx)
	go h.seekAssurance(ctx)
	go h.decide(ctx)
	select {
	case <-ctx.Done():
	case <-h.stopped:
	}
	h.log.Info("stopped", zap.String("host", string(h.self)))
	return nil
}

// Metrics returns the address on which counters are served.
func (h *Host) Metrics() string { return h.listeners[2].Addr().String() }

// Reload takes in that the settings may have changed. Addresses and names stay for
// the life of the process.
func (h *Host) Reload(s settings.Site) {
	h.log.Info("settings-reloaded", zap.String("host", string(s.Host)), zap.Bool("store_moved", s.Store != h.settings.Store))
}
