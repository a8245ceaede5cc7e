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

// site is entry hosts between stand-ins of what the platform has.
type site struct {
	t    *testing.T
	logs *hostLogs
	// store stands at address, advice is the address of the advice service.
	store           *standin.Store
	address, advice string
	// machines is the address of the service that takes machines down, taken what it did.
	machines string
	taken    *standin.Machines
	// lease is the longest lease of a worker. Strict workers keep to it.
	lease  time.Duration
	strict bool
	// proxies stand before the store and before each worker, by what is behind them; nil unless the
	// script asks for them.
	proxies map[string][]*faultproxy.Proxy
	// mu guards the elements of workers.
	mu      sync.Mutex
	workers []*standin.Worker
	// tells is the start that workers tell which begin from now on; 0 if they tell none. addresses holds where each is.
	tells     int64
	addresses map[int]string
	// domain is the failure domain of workers that start from now on, domains that of each.
	domain  string
	domains map[int]string

	// stops end a host at once, ended are closed when it has ended.
	hosts []*entry.Host
	stops []context.CancelFunc
	ended []chan struct{}
	// cores is the processor share of each host.
	cores []float64

	// between stands before the store; unknown counts the calls that ended unknown since links
	// were silenced; half is the connection of a client that is silent in the middle of a call.
	between *between
	unknown atomic.Int32
	half    net.Conn

	// bodies holds what was submitted, by job, and key is what clients show.
	bodies map[string]string
	key    string
	// line is the script's line that is played.
	line int
}

// work is what the payloads of the scripts do.
var work = map[string]standin.Work{
	"short": {Time: 20 * time.Millisecond}, "long": {Time: 700 * time.Millisecond}, "fails": {Fails: true}, "endless": {Time: time.Hour},
}

// configuration is what the operator writes at first.
const configuration = `{"Version":1,
"Routes":[{"Name":"q","Hostname":"jobs.example","PathPrefix":"/q/","Priority":1,"Backend":"svc","MaxAttempts":2,"Extension":3,"TargetLatencyMs":1000}],
"Backends":[{"Name":"svc","RejectsOverload":true}],"Tenants":[{"Name":"c","ApiKeys":["key"],"Guaranteed":{"Gpus":8}},{"Name":"d","ApiKeys":["second"]}]}`

// newSite starts a site without hosts and workers.
func newSite(t *testing.T) *site {
	s := &site{
		t: t, logs: newHostLogs(t), store: standin.NewStore(), bodies: map[string]string{}, addresses: map[int]string{}, domains: map[int]string{},
		key: "key", lease: 2 * time.Second,
	}
	s.between = &between{t: t, store: s.store, proxies: map[string]*faultproxy.Proxy{}}
	server := httptest.NewServer(s.between)
	t.Cleanup(server.CloseClientConnections)
	s.address = strings.TrimPrefix(server.URL, "http://")
	s.store.Put("keyed.op", "config", []byte(configuration))
	s.taken = standin.NewMachines(s.takeDown)
	cloud := httptest.NewServer(s.taken)
	t.Cleanup(cloud.CloseClientConnections)
	s.machines = strings.TrimPrefix(cloud.URL, "http://")
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
	})
	return s
}

// startHost starts a host, or starts it again.
func (s *site) startHost(n int) {
	clock, err := boottime.New()
	if err != nil {
		s.t.Fatal(err)
	}
	h, err := entry.New(settings.Site{
		Host: id.Host(fmt.Sprintf("host-%d", n)), Domain: "d", Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0",
		Store: s.address, Advice: s.advice, Machines: s.machines, Partitions: 12, LeastTTL: time.Second, ConfigBound: 2 * time.Second,
		Memory: 512 * unit.MiB, Descriptors: 1024, Cores: s.cores[n], Link: 1000, Grace: 3 * time.Second,
		Policy: policy.New(),
		Workers: dispatch.Config{
			MaxLease: s.lease, StopTime: 200 * time.Millisecond, SaveEvery: time.Second, KeepEnded: time.Minute,
			Handover: 100 * time.Millisecond, Away: 100 * time.Millisecond, Evacuation: 5 * time.Second,
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

// startAdvice starts the advice service and makes the queue and the workers ask for it.
func (s *site) startAdvice(refused []string) {
	server := httptest.NewServer(standin.NewAdvice(refused...))
	s.t.Cleanup(server.CloseClientConnections)
	s.advice = strings.TrimPrefix(server.URL, "http://")
	queue := `"MaxAttempts":2,"advice":{"decide_ms":5,"each_ms":1,"valid_ms":2000}`
	s.store.Put("keyed.op", "config", []byte(strings.Replace(configuration, `"MaxAttempts":2`, queue, 1)))
	for _, w := range s.workers {
		w.NeedTickets()
	}
}

// startWorker starts a worker on a machine of its own.
func (s *site) startWorker() {
	n := len(s.workers)
	s.workers = append(s.workers, nil)
	s.domains[n] = s.domain
	s.startLife(n, fmt.Sprintf("w-%d", n))
	s.taken.SetLife(fmt.Sprintf("m-%d", n), s.workers[n].ID())
}

// startLife starts a life of the machine of a worker.
func (s *site) startLife(n int, name string) {
	w := standin.NewWorker(name, work)
	if s.strict {
		w = standin.NewStrictWorker(name, work, standin.Strict{
			MaxLease: s.lease, StopTime: 100 * time.Millisecond, Gangs: standin.NewGangs(), Rate: 1, Observe: func(standin.Seen) {},
		})
		s.t.Cleanup(w.Crash)
	}
	server := httptest.NewServer(w)
	s.t.Cleanup(server.CloseClientConnections)
	s.mu.Lock()
	s.workers[n] = w
	s.mu.Unlock()
	s.addresses[n] = s.through("workers", strings.TrimPrefix(server.URL, "http://"))
	if s.tells != 0 {
		w.TellStart(s.tells)
	}
	s.putEntry(n, s.tells)
}

// putEntry writes the entry of a worker, with a start unless that is 0.
func (s *site) putEntry(n int, start int64) {
	s.store.PutEntry(s.worker(n).ID(), standin.Entry{
		Service: standin.SiteService, Address: s.addresses[n], Domain: s.domains[n], Clock: 1, Seq: 1, Start: start,
	})
}

// worker returns the present life of a machine's worker. Orders about machines come from
// other goroutines than the script's.
func (s *site) worker(n int) *standin.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[n]
}

// takeDown ends the life of a machine's worker and starts another one, whose id it returns.
func (s *site) takeDown(machine string) string {
	n, err := strconv.Atoi(strings.TrimPrefix(machine, "m-"))
	if err != nil {
		s.t.Errorf("an order about machine %q", machine)
		return ""
	}
	w := s.worker(n)
	w.SetFault(standin.FaultSilent)
	s.store.Put("keyed.servers", w.ID(), nil)
	s.startLife(n, w.ID()+"+")
	return s.worker(n).ID()
}

// fault returns the fault of that name.
func fault(name string) standin.Fault {
	if name == "none" {
		return standin.FaultNone
	}
	return standin.Fault(name)
}
