// Package entry runs one entry host, which accepts jobs from clients on the
// users' platform and can become the owner of scheduling.
//
// One goroutine, the deciding goroutine, owns the table of jobs, the
// configuration, the election and, on the owner, the dispatcher. The other
// goroutines read and write the store, send orders to workers and answer
// clients; they pass events to the deciding goroutine through one bounded ring,
// which blocks them when it is full.
package entry

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/candidacy"
	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/evacuation"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/outage"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/upkeep"
	"curlewsill.org/curlewsill/core/waiting"
	"curlewsill.org/curlewsill/internal/intake"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/internal/wslink"
	"curlewsill.org/curlewsill/platform"
)

const (
	// eventCapacity is the capacity of the ring of events for the deciding
	// goroutine.
	eventCapacity = 4096
	// memoryShare is the part of the allowed memory that the runtime uses as
	// its soft limit.
	memoryShare = 0.6
	// storeConns and workerConns limit the number of connections to the store
	// and to each worker.
	storeConns  = 8
	workerConns = 8
	// adviceConns limits the connections to the advice service, which handles
	// one call at a time.
	adviceConns = 1
	// machineConns limits the connections to the service that takes machines
	// down.
	machineConns = 2
)

// event is a function that the deciding goroutine calls to handle one
// occurrence.
type event func(now unit.Instant)

// Host is one entry host: it serves clients, and schedules while it is the
// owner.
type Host struct {
	settings settings.Site
	log      *zap.Logger
	metrics  *metrics
	// links are the connections with peers, in both directions.
	links *wslink.Links
	// storePath and advicePath carry calls to the store and to the advice
	// service, directly or through peers.
	storePath, advicePath *relay.Transport
	// recordsPath carries records to the writers of peers. forwardAddress is
	// the address at which the owner accepts records; nil if it is unknown or
	// this host is the owner.
	recordsPath    *relay.Transport
	forwardAddress atomic.Pointer[string]
	// watchPath carries questions about the owner to peers. watched is the
	// owner if this host is to check whether it is alive, else nil.
	// watchBegins receives a value when watched is set.
	watchPath   *relay.Transport
	watched     atomic.Pointer[watched]
	watchBegins chan struct{}
	// jobsPath carries questions about jobs to the candidates in jobHosts.
	jobsPath *relay.Transport
	jobHosts jobHosts
	// deciding is set while the deciding goroutine runs.
	deciding atomic.Bool
	store    *platform.Store
	workers  *platform.Workers
	advice   *platform.AdviceClient
	machines *platform.MachineClient
	// self is the name of this incarnation of the host.
	self   id.Host
	events *ring.Ring[event]
	writer *writer
	// health tracks the health of the store by the short calls to it.
	health *storeHealth

	// clients bounds what clients make this host hold, system what callers of the
	// other listeners do.
	clients, system *intake.Intake
	listeners       []net.Listener
	// peers is the address of the listener for peers, with the port that the
	// system chose if the settings give none.
	peers   string
	servers []*http.Server

	// catalog is the configuration in force; nil before the first.
	catalog atomic.Pointer[catalog.Catalog]
	// ready is the readiness that the load balancer sees.
	ready atomic.Bool
	// groupCapacity is the number of hosts that fit into the group of
	// candidates, as last seen by this host.
	groupCapacity atomic.Int32
	// member is set while this host should be in the group of candidates.
	member atomic.Bool
	// roleChanged receives a value when member or groupCapacity changes.
	roleChanged chan struct{}
	// standby is set while this host would be among the first hosts to claim
	// the ownership.
	standby atomic.Bool
	// following is set while this host follows the jobs.
	following atomic.Bool
	// callReads are the reads by which calls bring the table up to date.
	callReads sharedRead
	// waitingCalls counts the calls that wait for a job's end.
	waitingCalls atomic.Int32
	stopping     atomic.Bool
	stopOnce     sync.Once
	stopped      chan struct{}

	clock Clock
	// suspended is the total time for which the machine had been suspended when
	// a suspension was last logged.
	suspended time.Duration
	// wake ends the pause between two reads of the jobs early.
	wake chan struct{}

	// Only the deciding goroutine may use the fields below; other goroutines
	// reach them by query and post. loaded is set once table holds the store's
	// state.
	table  *jobtable.Table
	loaded bool
	// jobsReadAt is when the newest read that came to the end of the jobs was
	// sent; 0 before the first.
	jobsReadAt unit.Instant
	// unaidedUntil is the time until which the host follows the jobs although it
	// is a reserve.
	unaidedUntil unit.Instant
	// noTableSince is since when the candidates that were asked about jobs have
	// answered without a table; 0 if the last answer came from a table.
	// noTableDelay is this host's part of noTableSpread.
	noTableSince atomic.Int64
	noTableDelay time.Duration
	// waves holds the maintenance waves that the operator has requested.
	waves map[id.Wave]upkeep.Wave
	// evacuations holds the failure domains that the operator has evacuated.
	// operatorReadAt is the time up to which all operator records are known; 0
	// before the first read.
	evacuations    evacuation.Set
	operatorReadAt unit.Instant
	election       *election.Election
	candidacy      candidacy.Candidacy
	// outages follows the calls by which this host stays in the group.
	outages outage.Monitor
	// progress is the position in the progress log up to which the table is
	// complete.
	progress progressPosition
	// owner is nil unless this host owns the scheduling. claiming is set during
	// a claim: from the read before the append of the claim until the read that
	// may follow the append. It is also set while this host releases the
	// ownership to a more able host. No claim begins while claiming is set.
	// takeover is set from when this host has read its own claim until it is
	// the owner.
	owner    *owner
	claiming bool
	takeover *takeover
	// newestClaim is the epoch of the newest claim or release of the ownership
	// that this host has read.
	newestClaim id.Epoch
	// endedEpoch is the last epoch whose owner has ended for certain. This host
	// gave up that ownership or could not take it over, or the owner was an
	// earlier incarnation of this host.
	endedEpoch id.Epoch
	// handover is what the latest owner that has told something knows, this host
	// included.
	handover receivedHandover
	// watchers are notified when a job ends.
	watchers watchers
	// peerAddresses holds the addresses at which the other hosts listen for
	// peers, as of the newest read of the group of live hosts.
	peerAddresses map[id.Host]string
	// counts caches the numbers of waiting jobs that callers ask for.
	counts *waiting.Counts
	// releasedEpoch is the epoch of the newest release of the ownership that
	// this host has read.
	releasedEpoch id.Epoch
	// assured is the newest time at which it is certain that no other host was
	// the owner. A call that was sent at this time has shown it. That call was
	// a read of the jobs that showed no other owner, an append of this owner
	// that was not fenced, or a question to all other hosts, each of which
	// answered that it knows of no other owner.
	assured unit.Instant
	// others are the other hosts that recent reads of the group have returned,
	// by the names that all incarnations of a host share.
	others map[id.Host]otherHost
}

// Clock provides the time by which a host ages its information about other
// machines.
type Clock interface {
	// Now is monotonic, and advances while the machine is suspended.
	Now() unit.Instant
	// Suspended returns the total time for which the machine has been
	// suspended.
	Suspended() time.Duration
}

// New returns a host whose listeners are open.
func New(s settings.Site, clock Clock, log *zap.Logger) (*Host, error) {
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	self, err := newHostName(s.Host)
	if err != nil {
		return nil, err
	}
	m := newMetrics()
	member := election.Member{Host: self, Ability: ability(s)}
	client := func(kind peerKind, conns int) *http.Client {
		return platform.NewHTTPClient(conns, m.deadConnHandler(log, kind))
	}
	links := relay.NewLinks((&net.Dialer{}).DialContext, log)
	path := relay.New("http://"+s.Store, relay.RouteStore, client(toStore, storeConns), links, log)
	advicePath := relay.New("http://"+s.Advice, relay.RouteAdvice, client(toAdvice, adviceConns), links, log)
	h := &Host{
		settings: s, log: log, metrics: m, self: self,
		links: links, storePath: path, advicePath: advicePath,
		store:    platform.NewStore(s.Store, &http.Client{Transport: path}),
		workers:  platform.NewWorkers(platform.NewWorkerHTTPClient(workerConns, m.deadConnHandler(log, toWorkers)), log),
		advice:   platform.NewAdviceClient(s.Advice, &http.Client{Transport: advicePath}, log),
		machines: platform.NewMachineClient(s.Machines, s.Host, client(toMachines, machineConns), log),
		events:   ring.New[event](eventCapacity), stopped: make(chan struct{}),
		table: jobtable.New(), waves: map[id.Wave]upkeep.Wave{}, clock: clock,
		election: election.New(member), candidacy: *candidacy.New(election.Member{Host: s.Host, Ability: member.Ability}, rand.Float64()),
		noTableDelay: time.Duration(rand.Float64() * float64(noTableSpread)),
		others:       map[id.Host]otherHost{}, watchers: watchers{}, counts: waiting.New(), wake: make(chan struct{}, 1),
		roleChanged: make(chan struct{}, 1), watchBegins: make(chan struct{}, 1),
	}
	h.recordsPath = relay.New(recordsBase, relay.RouteRecords, &http.Client{Transport: recordsTransport{h}}, links, log)
	h.watchPath = relay.New(watchBase, relay.RouteWatch, &http.Client{Transport: watchTransport{h}}, links, log)
	h.jobsPath = relay.New(jobsBase, relay.RouteJobs, &http.Client{Transport: jobQueryTransport{newClientHandler(h)}}, links, log)
	clients, system := clientLimits(s)
	h.clients, h.system = intake.New(clients, log.With(zap.String("listener", "clients"))), intake.New(system, log.With(zap.String("listener", "system")))
	h.metrics.registerLinks(links)
	h.metrics.registerIntakes(map[string]*intake.Intake{"clients": h.clients, "system": h.system})
	h.groupCapacity.Store(initialGroupRoom)
	h.health = newStoreHealth(log)
	h.writer = newWriter(h.store, h.health, string(self), log, h.metrics, max(minPendingBytes, s.Memory/pendingShare), h.now)
	if err := h.listen(); err != nil {
		return nil, err
	}
	return h, nil
}

// newHostName returns a unique name for this incarnation of the host.
func newHostName(host id.Host) (id.Host, error) {
	var suffix [4]byte
	if _, err := cryptorand.Read(suffix[:]); err != nil {
		return "", fmt.Errorf("entry: %w", err)
	}
	return id.Host(fmt.Sprintf("%s%s%08x", host, incarnationSeparator, binary.BigEndian.Uint32(suffix[:]))), nil
}

// incarnationSeparator separates the name of a host's machine from the random
// suffix of the incarnation.
const incarnationSeparator = "#"

// machineOf returns the name that all incarnations of a host share.
func machineOf(incarnation id.Host) id.Host {
	if i := strings.LastIndex(string(incarnation), incarnationSeparator); i >= 0 {
		return incarnation[:i]
	}
	return incarnation
}

// incarnationOf returns the random suffix of an incarnation's name.
func incarnationOf(incarnation id.Host) string {
	return strings.TrimPrefix(string(incarnation[len(machineOf(incarnation)):]), incarnationSeparator)
}

// now returns the time of the host's clock. It is monotonic and includes
// suspensions, during which information about other machines ages too.
func (h *Host) now() unit.Instant { return h.clock.Now() }

// post passes an event to the deciding goroutine.
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
	go h.requestAssurance(ctx)
	go h.tellEnds(ctx)
	go h.decide(ctx)
	select {
	case <-ctx.Done():
	case <-h.stopped:
	}
	h.log.Info("stopped", zap.String("host", string(h.self)))
	return nil
}

// MetricsAddress returns the address at which metrics are served.
func (h *Host) MetricsAddress() string { return h.listeners[2].Addr().String() }

// Reload logs that the settings were reloaded. It applies none of them:
// addresses and names stay the same for the lifetime of the process.
func (h *Host) Reload(s settings.Site) {
	h.log.Info("settings-reloaded", zap.String("host", string(s.Host)), zap.Bool("store_moved", s.Store != h.settings.Store))
}
