//go:build review

// Command stand2 runs the scripts of the second independent review: it starts
// the project's entry hosts as separate processes on loopback, with stand-ins of
// the platform's store, the executors and the machine service in this process.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"curlewsill.org/curlewsill/internal/faultproxy"
	"curlewsill.org/curlewsill/platform/standin"
)

// The bounds of the site, those of the small deployment rtl-gent.
const (
	maxHold  = 6000 * time.Millisecond
	stopTime = 400 * time.Millisecond
	cancelMs = 3000 * time.Millisecond
	deadline = 3000 * time.Millisecond
)

// site is the system under test with its stand-ins.
type site struct {
	dir     string
	store   *standin.Store
	gangs   *standin.Gangs
	hosts   []*host
	workers []*worker
	machine string // address of the machine service, or empty
	// storeHook may replace the store's handling of a call of a host.
	storeHook func(h *host, w http.ResponseWriter, r *http.Request, body []byte) bool

	mu      sync.Mutex
	began   time.Time
	record  *os.File
	starts  []start
	ends    []standin.WorkerEvent
	cleanup []func()
}

// start is a run that an executor began.
type start struct {
	at     time.Time
	worker string
	task   string
	run    int
}

// host is an entry host: a process, and the proxies that lead to it and away
// from it.
type host struct {
	site       *site
	name, zone string
	number     int
	storeProxy *faultproxy.Proxy
	peers      map[string]*faultproxy.Proxy // to the peers, by their addresses
	cut        bool

	mu       sync.Mutex
	cmd      *exec.Cmd
	callers  string
	peerAddr string
	owning   bool
	ended    chan struct{}
}

// worker is an executor.
type worker struct {
	*standin.Worker
	address, machine, zone string
	seq                    int
	// gone is closed when the executor's entry goes, stop when its heartbeats end.
	gone, stop chan struct{}
}

func newSite(folder string) (*site, error) {
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: standin.NewStore(), gangs: standin.NewGangs(), began: time.Now(), record: f}
	s.cleanup = append(s.cleanup, func() { _ = f.Close(); _ = os.RemoveAll(dir) })
	return s, nil
}

// log writes a line of the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(s.record, line)
	if os.Getenv("SHOW") != "" {
		fmt.Println(line)
	}
}

// close ends every process that the site started.
func (s *site) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	for i := len(s.cleanup) - 1; i >= 0; i-- {
		s.cleanup[i]()
	}
}

// addWorker starts an executor and its heartbeats.
func (s *site) addWorker(id, machine, zone string, work map[string]standin.Work) (*worker, error) {
	w := &worker{machine: machine, zone: zone, gone: make(chan struct{}), stop: make(chan struct{})}
	w.Worker = standin.NewStrictWorker(id, work, standin.Strict{
		MaxLease: maxHold, StopTime: stopTime, Gangs: s.gangs, Rate: 1, Speed: 1, Observe: s.observe,
	})
	address, stop, err := standin.Listen(w.Worker)
	if err != nil {
		return nil, err
	}
	w.address = address
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.cleanup = append(s.cleanup, stop)
	s.mu.Unlock()
	go s.beat(w)
	return w, nil
}

// beat writes the executor's entry every 1.5 s, until it is gone.
func (s *site) beat(w *worker) {
	for {
		w.seq++
		s.store.PutEntry(w.ID(), standin.Entry{
			Service: standin.SiteService, Address: w.address, Domain: w.zone, Machine: w.machine, Clock: w.Clock(), Seq: w.seq,
		})
		select {
		case <-w.stop:
			return
		case <-w.gone:
			s.store.DropWorker(w.ID())
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// observe records what an executor does.
func (s *site) observe(e standin.WorkerEvent) {
	switch e.Kind {
	case standin.EventStart:
		s.mu.Lock()
		s.starts = append(s.starts, start{at: e.At, worker: e.Worker, task: e.Task, run: e.Run})
		s.mu.Unlock()
		go s.log("executor %s starts %s run %d", e.Worker, e.Task, e.Run)
	case standin.EventEnd:
		s.mu.Lock()
		s.ends = append(s.ends, e)
		s.mu.Unlock()
		go s.log("executor %s ends %s run %d: %s", e.Worker, e.Task, e.Run, e.Outcome)
	}
}

// startsOf returns the starts of the tasks of a job.
func (s *site) startsOf(job string) []start {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []start
	for _, x := range s.starts {
		if strings.HasPrefix(x.task, job+".") {
			out = append(out, x)
		}
	}
	return out
}

// ServeHTTP answers a host's call to the store. The addresses of peers that the
// store lists are replaced by those of the proxies on the way to them.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if hook := h.site.storeHook; hook != nil && hook(h, w, r, body) {
		return
	}
	if r.URL.Path != "/log-owners" {
		h.site.store.ServeHTTP(w, r)
		return
	}
	rec := &recorder{header: http.Header{}}
	h.site.store.ServeHTTP(rec, r)
	var out struct {
		Parts [][]any `json:"parts"`
	}
	if json.Unmarshal(rec.body.Bytes(), &out) == nil {
		for _, row := range out.Parts {
			name, _ := row[2].(string)
			f := strings.Split(name, "@")
			if len(f) == 3 {
				f[1] = h.proxyTo(f[1])
				row[2] = strings.Join(f, "@")
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rec.status)
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": out.Parts})
}

type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }
func (r *recorder) WriteHeader(status int)      { r.status = status }

// proxyTo returns the address of the proxy on the way from the host to a peer.
func (h *host) proxyTo(address string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if address == h.peerAddr {
		return address
	}
	if p := h.peers[address]; p != nil {
		return p.Addr()
	}
	p, err := faultproxy.New(address)
	if err != nil {
		return address
	}
	h.peers[address] = p
	return p.Addr()
}

// addHost starts an entry host.
func (s *site) addHost(name, zone string) (*host, error) {
	h := &host{site: s, name: name, zone: zone, number: len(s.hosts), peers: map[string]*faultproxy.Proxy{}}
	address, stop, err := standin.Listen(h)
	if err != nil {
		return nil, err
	}
	s.cleanup = append(s.cleanup, stop)
	if h.storeProxy, err = faultproxy.New(address); err != nil {
		return nil, err
	}
	s.hosts = append(s.hosts, h)
	return h, h.start()
}

// settings returns the settings file, as deploy/site.ini is filled in for a small
// deployment.
func (h *host) settings() string {
	machine := ""
	if h.site.machine != "" {
		machine = "address = " + h.site.machine
	}
	return fmt.Sprintf(`[host]
id = %s
domain = %s
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
peers = 127.0.0.1:0
metrics = 127.0.0.1:0

[store]
address = %s
partitions = 12
least_ttl = 1000ms
config_bound = 2000ms

[limits]
memory = 284MiB
cores = 0.4
descriptors = 4100
link_mbps = 1000
grace = 6s

[workers]
max_lease = %dms
stop = %dms
save = 2s
keep_ended = 120s
cancel = %dms

[machines]
%s
handover = 3000ms
away = 2s

[log]
level = info
`, h.name, h.zone, h.storeProxy.Addr(), maxHold.Milliseconds(), stopTime.Milliseconds(), cancelMs.Milliseconds(), machine)
}

// start starts the host's process and waits until it listens.
func (h *host) start() error {
	file := filepath.Join(h.site.dir, h.name+".ini")
	if err := os.WriteFile(file, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	cmd := exec.Command("target/curlewsilld", "site")
	cmd.Env = append(os.Environ(), "CURLEWSILL_BOOT="+file)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return err
	}
	ended, ready := make(chan struct{}), make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended, h.owning = cmd, ended, false
	h.mu.Unlock()
	go h.readLog(cmd, out, ended, ready)
	select {
	case <-ready:
		h.site.log("host %s started", h.name)
		return nil
	case <-time.After(15 * time.Second):
		return fmt.Errorf("host %s doesn't start", h.name)
	}
}

// readLog follows the log of the host's process.
func (h *host) readLog(cmd *exec.Cmd, out io.Reader, ended, ready chan struct{}) {
	var once sync.Once
	var raw io.Writer = io.Discard
	if dir := os.Getenv("LOGS"); dir != "" {
		if f, err := os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			defer func() { _ = f.Close() }()
			raw = f
		}
	}
	in := bufio.NewScanner(io.TeeReader(out, raw))
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var m struct{ Msg, Callers, Peers string }
		if json.Unmarshal(in.Bytes(), &m) != nil {
			continue
		}
		switch m.Msg {
		case "started":
			h.mu.Lock()
			h.callers, h.peerAddr = m.Callers, m.Peers
			h.mu.Unlock()
			once.Do(func() { close(ready) })
		case "owner":
			h.setOwning(true)
			h.site.log("host %s owns the scheduling", h.name)
		case "owner-ended":
			h.setOwning(false)
		}
	}
	_ = cmd.Wait()
	h.setOwning(false)
	close(ended)
}

func (h *host) setOwning(owns bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.owning = owns
}

func (h *host) owns() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owning
}

// signal sends a signal to the host's process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	cmd := h.cmd
	h.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// kill kills the host's process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// cutOff cuts the host off from the store and from all other hosts. Nothing
// passes, and new connections aren't answered.
func (s *site) cutOff(h *host) {
	proxies := s.proxiesOf(h)
	for _, p := range proxies {
		p.Cut(faultproxy.Both)
	}
	for _, p := range proxies {
		go func() {
			if err := p.IgnoreConnects(); err != nil {
				s.log("new connections to %s are answered: %v", p.Addr(), err)
			}
		}()
	}
}

// heal ends cutOff. What was sent before is lost, with its connections.
func (s *site) heal(h *host) error {
	for _, p := range s.proxiesOf(h) {
		p.Reset()
		if err := p.AcceptConnects(); err != nil {
			return err
		}
		p.Heal()
	}
	return nil
}

// proxiesOf returns the proxies on the ways between a host and the store, and
// between it and the other hosts.
func (s *site) proxiesOf(h *host) []*faultproxy.Proxy {
	out := []*faultproxy.Proxy{h.storeProxy}
	for _, o := range s.hosts {
		o.mu.Lock()
		for address, p := range o.peers {
			if o == h || address == h.peerAddr {
				out = append(out, p)
			}
		}
		o.mu.Unlock()
	}
	return out
}

// call makes a client's call to a host.
func (s *site) call(h *host, method, job string, body []byte) (standin.Answer, error) {
	h.mu.Lock()
	address := h.callers
	h.mu.Unlock()
	c := standin.Caller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Deadline: deadline}
	a, err := c.Call(context.Background(), address, standin.Request{
		Method: method, Queue: standin.SiteQueue(), Job: job, Key: standin.SiteKey, ID: fmt.Sprintf("%016x", time.Now().UnixNano()), Body: body,
	})
	if err != nil {
		s.log("client %s %s at %s: no answer: %v", method, job, h.name, err)
		return a, err
	}
	s.log("client %s %s at %s: %d %s", method, job, h.name, a.Status, a.State)
	return a, err
}

// zones are the zones of the site.
var zones = []string{"gent-zuid", "gent-haven", "merelbeke"}

// startHosts starts a host in each zone, and returns the owner once the hosts have
// settled.
func (s *site) startHosts() (*host, error) {
	for _, zone := range zones {
		if _, err := s.addHost("edge-"+zone+"-1", zone); err != nil {
			return nil, fmt.Errorf("%w: %w", errRun, err)
		}
	}
	owner := s.awaitOwner(15 * time.Second)
	if owner == nil {
		return nil, fmt.Errorf("%w: no owner", errRun)
	}
	time.Sleep(4 * time.Second)
	return owner, nil
}

// awaitOwner waits until a host owns the scheduling.
func (s *site) awaitOwner(limit time.Duration) *host {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, h := range s.hosts {
			if h.owns() {
				return h
			}
		}
	}
	return nil
}

// awaitDone waits until a job is shown as completed.
func (s *site) awaitDone(h *host, job string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if a, err := s.call(h, http.MethodGet, job, nil); err == nil && a.State == "completed" {
			return true
		}
	}
	return false
}

// freeAddress serves a handler on a free loopback port.
func freeAddress(h http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), func() { _ = srv.Close() }, nil
}
