package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/boottime"
	"curlewsill.org/curlewsill/internal/entry"
	"curlewsill.org/curlewsill/internal/faultproxy"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/platform/standin"
)

// site is a set of entry hosts with stand-ins of the platform's services.
type site struct {
	t    *testing.T
	logs *hostLogs
	// address is the address of store, or of the proxy in front of it. advice
	// is the address of the advice service.
	store           *standin.Store
	address, advice string
	// machines is the address of machineService, which takes machines down.
	machines       string
	machineService *standin.Machines
	// lease is the longest lease of a worker. If strict is set, workers enforce
	// it.
	lease  time.Duration
	strict bool
	// proxies are the proxies in front of the store and of each worker, by the
	// kind of their target; nil unless the script asks for them.
	proxies map[string][]*faultproxy.Proxy
	// mu guards the elements of workers and of proxies.
	mu      sync.Mutex
	workers []*standin.Worker
	// workerStart is the start time that workers started from now on report for
	// their incarnation; 0 if they report none. addresses holds the address of
	// each worker.
	workerStart int64
	addresses   map[int]string
	// domain is the failure domain of workers started from now on. domains
	// holds the failure domain of each worker.
	domain  string
	domains map[int]string

	// stops holds the functions that stop each host immediately. ended holds,
	// for each host, the channel that is closed when the host has ended.
	hosts []*entry.Host
	stops []context.CancelFunc
	ended []chan struct{}
	// cores is the number of cores of each host.
	cores []float64

	// storeProxy is the HTTP handler in front of the store. unknown counts the
	// calls that ended with an unknown outcome since the links were silenced.
	// halfConn is the connection of a client that stopped sending in the middle
	// of a call.
	storeProxy *storeProxy
	unknown    atomic.Int32
	halfConn   net.Conn

	// bodies holds the submitted bodies by job. key is the API key that clients
	// send.
	bodies map[string]string
	key    string
	// line is the number of the script's current line.
	line int
}

// work says, for each payload in the scripts, how long its tasks run and
// whether they fail.
var work = map[string]standin.Work{
	"short": {Duration: 20 * time.Millisecond}, "long": {Duration: 700 * time.Millisecond}, "fails": {Fails: true}, "endless": {Duration: time.Hour},
}

// configuration is the first configuration that the operator writes.
const configuration = `{"Version":1,
"Routes":[{"Name":"q","Hostname":"jobs.example","PathPrefix":"/q/","Priority":1,"Backend":"svc","MaxAttempts":2,"Extension":3,"TargetLatencyMs":1000}],
"Backends":[{"Name":"svc","RejectsOverload":true}],"Tenants":[{"Name":"c","ApiKeys":["key"],"Guaranteed":{"Gpus":8}},{"Name":"d","ApiKeys":["second"]}]}`

// newSite starts a site without hosts and workers.
func newSite(t *testing.T) *site {
	s := &site{
		t: t, logs: newHostLogs(t), store: standin.NewStore(), bodies: map[string]string{}, addresses: map[int]string{}, domains: map[int]string{},
		key: "key", lease: 2 * time.Second,
	}
	s.storeProxy = &storeProxy{t: t, store: s.store, proxies: map[string]*faultproxy.Proxy{}}
	server := httptest.NewServer(s.storeProxy)
	t.Cleanup(server.CloseClientConnections)
	s.address = strings.TrimPrefix(server.URL, "http://")
	s.store.Put("keyed.op", "config", []byte(configuration))
	s.machineService = standin.NewMachines(s.takeDown)
	machineServer := httptest.NewServer(s.machineService)
	t.Cleanup(machineServer.CloseClientConnections)
	s.machines = strings.TrimPrefix(machineServer.URL, "http://")
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
	})
	return s
}

// startHost starts a host, or restarts it.
func (s *site) startHost(n int) {
	clock, err := boottime.New()
	if err != nil {
		s.t.Fatal(err)
	}
	h, err := entry.New(settings.Site{
		Host: id.Host(fmt.Sprintf("host-%d", n)), Domain: "d", Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0",
		Store: s.address, Advice: s.advice, Machines: s.machines, Partitions: 12, LeastTTL: time.Second, ConfigBound: 2 * time.Second,
		Memory: 512 * unit.MiB, Descriptors: 1024, Clients: settings.SiteClients(512*unit.MiB, 1024), Cores: s.cores[n], Link: 1000, Grace: 3 * time.Second,
		Policy: policy.New(),
		Workers: dispatch.Config{
			MaxLease: s.lease, StopTime: 200 * time.Millisecond, CheckpointInterval: time.Second, EndedRetention: time.Minute,
			HandoverDelay: 100 * time.Millisecond, MaintenanceTime: 100 * time.Millisecond, EvacuationLimit: 5 * time.Second,
			CancelLimit: 3 * time.Second,
		},
	}, clock, s.logs.log.With(zap.Int("host", n)))
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	s.hosts[n], s.stops[n], s.ended[n] = h, cancel, ended
	go func() {
		defer close(ended)
		_ = h.Run(ctx)
	}()
}

// startAdvice starts the advice service, and makes the queue and the workers
// require its permits.
func (s *site) startAdvice(refused []string) {
	server := httptest.NewServer(standin.NewAdvice(refused...))
	s.t.Cleanup(server.CloseClientConnections)
	s.advice = strings.TrimPrefix(server.URL, "http://")
	queue := `"MaxAttempts":2,"advice":{"decide_ms":5,"each_ms":1,"valid_ms":2000}`
	s.store.Put("keyed.op", "config", []byte(strings.Replace(configuration, `"MaxAttempts":2`, queue, 1)))
	for _, w := range s.workers {
		w.RequireTickets()
	}
}

// startWorker starts a worker on a machine of its own.
func (s *site) startWorker() {
	n := len(s.workers)
	s.workers = append(s.workers, nil)
	s.domains[n] = s.domain
	s.startIncarnation(n, fmt.Sprintf("w-%d", n))
	s.machineService.SetWorker(fmt.Sprintf("m-%d", n), s.workers[n].ID())
}

// startIncarnation starts a new incarnation of the worker of a machine.
func (s *site) startIncarnation(n int, name string) {
	w := standin.NewWorker(name, work)
	if s.strict {
		w = standin.NewStrictWorker(name, work, standin.Strict{
			MaxLease: s.lease, StopTime: 100 * time.Millisecond, Gangs: standin.NewGangs(), Rate: 1, Observe: func(standin.WorkerEvent) {},
		})
		s.t.Cleanup(w.Crash)
	}
	server := httptest.NewServer(w)
	s.t.Cleanup(server.CloseClientConnections)
	s.mu.Lock()
	s.workers[n] = w
	s.mu.Unlock()
	s.addresses[n] = s.proxyFor("workers", strings.TrimPrefix(server.URL, "http://"))
	if s.workerStart != 0 {
		w.ReportStart(s.workerStart)
	}
	s.putEntry(n, s.workerStart)
}

// putEntry writes a worker's entry in the list, with a start unless that is 0.
func (s *site) putEntry(n int, start int64) {
	s.store.PutEntry(s.worker(n).ID(), standin.Entry{
		Service: standin.SiteService, Address: s.addresses[n], Domain: s.domains[n], Clock: 1, Seq: 1, Start: start,
	})
}

// worker returns the current incarnation of a machine's worker. It holds the
// lock because orders about machines come from other goroutines than the
// script's.
func (s *site) worker(n int) *standin.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[n]
}

// takeDown ends the incarnation of a machine's worker, starts another one, and
// returns the new id.
func (s *site) takeDown(machine string) string {
	n, err := strconv.Atoi(strings.TrimPrefix(machine, "m-"))
	if err != nil {
		s.t.Errorf("order about an unknown machine %q", machine)
		return ""
	}
	w := s.worker(n)
	w.SetFault(standin.FaultClose)
	s.store.Put("keyed.servers", w.ID(), nil)
	s.startIncarnation(n, w.ID()+"+")
	return s.worker(n).ID()
}

// fault returns the fault with that name.
func fault(name string) standin.Fault {
	if name == "none" {
		return standin.FaultNone
	}
	return standin.Fault(name)
}
