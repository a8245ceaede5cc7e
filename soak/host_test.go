package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"curlewsill.org/curlewsill/internal/faultproxy"
)

// startTime bounds how long a process may take until it listens.
const startTime = 30 * time.Second

// askTime is how old the balancer's last answer may be. A host that stops takes connections for 2.5 s, and
// the balancer must know after two questions, also when this machine is busy.
const askTime = 1200 * time.Millisecond

// host is a machine that has one process after the other.
type host struct {
	site   *site
	number int
	// name is the machine's; a replacement has another one.
	name string

	mu      sync.Mutex
	process *process
}

// process is one curlewsilld with the proxies before it and before its store.
type process struct {
	life      string
	cmd       *exec.Cmd
	settings  string
	path      *faultproxy.Proxy // to the store
	callers   *faultproxy.Proxy
	readiness string
	peers     string
	ended     chan struct{}

	mu sync.Mutex
	// termAt is when SIGTERM was sent, zero before; killed is set after SIGKILL.
	termAt time.Time
	killed bool
	// misses counts the readiness questions without a yes since the last one.
	misses int
	// askedAt is when the last one ended.
	askedAt time.Time
}

// settingsText returns the settings of a host's process.
func settingsText(name, store, level string) string {
	return fmt.Sprintf(`[host]
id = %s
domain = d
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
peers = 127.0.0.1:0
metrics = 127.0.0.1:0
[store]
address = %s
partitions = 12
least_ttl = 1s
[limits]
memory = 284MiB
cores = 1
link_mbps = 1000
grace = %v
[workers]
max_lease = %v
stop = %v
save = 1s
keep_ended = 10m
evacuation = %v
[machines]
handover = %v
away = 2s
[log]
level = %s
`, name, store, grace, maxLease, stopTime, evacuationBound, handover, level)
}

// start begins a life of the host. It returns once the process listens, or has ended.
func (h *host) start() {
	s := h.site
	p := &process{life: s.life(h.name), ended: make(chan struct{}), path: s.proxy(s.address), misses: 2}
	p.settings = filepath.Join(s.dir, p.life+".ini")
	if err := os.WriteFile(p.settings, []byte(settingsText(h.name, p.path.Addr(), "info")), 0o600); err != nil {
		s.t.Error(err)
		return
	}
	p.cmd = exec.Command(program, "site", "--config", p.settings)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		s.t.Error(err)
		return
	}
	p.cmd.Stderr = p.cmd.Stdout
	log, err := os.Create(filepath.Join(s.dir, p.life+".log"))
	if err != nil {
		s.t.Error(err)
		return
	}
	if err := p.cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	listens := make(chan struct{})
	go h.follow(p, out, log, listens)
	select {
	case <-listens:
	case <-time.After(startTime):
		s.t.Errorf("%s doesn't listen after %v", p.life, startTime)
	}
	h.mu.Lock()
	h.process = p
	h.mu.Unlock()
}

// follow reads a process's log until its end, and tells of that.
func (h *host) follow(p *process, out io.Reader, log *os.File, listens chan struct{}) {
	defer close(p.ended)
	var once sync.Once
	in := bufio.NewScanner(io.TeeReader(out, log))
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		line := in.Text()
		if strings.Contains(line, "invariant-violated") || strings.HasPrefix(line, "panic:") || strings.Contains(line, "DATA RACE") {
			h.site.tell(event{Kind: logged, Host: p.life, Text: line})
		}
		var m struct{ Msg, Callers, Readiness, Peers string }
		if p.callers == nil && json.Unmarshal([]byte(line), &m) == nil && m.Msg == "started" {
			p.readiness, p.peers = m.Readiness, m.Peers
			p.callers = h.site.proxy(m.Callers)
			once.Do(func() { close(listens) })
		}
	}
	err := p.cmd.Wait()
	_ = log.Close()
	once.Do(func() { close(listens) })
	e := event{Kind: exited, Host: p.life, Status: p.cmd.ProcessState.ExitCode()}
	p.mu.Lock()
	e.Planned, e.Killed = !p.termAt.IsZero(), p.killed
	if e.Planned {
		e.Took = time.Since(p.termAt)
	}
	p.mu.Unlock()
	if err != nil {
		e.Text = err.Error()
	}
	if p.callers != nil {
		_ = p.callers.Close()
	}
	_ = p.path.Close()
	h.site.tell(e)
}

// present returns the present process, nil before the first and after its end.
func (h *host) present() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || h.process.over() {
		return nil
	}
	return h.process
}

// newest returns the last process that listened, also after its end, which the balancer learns by
// asking only.
func (h *host) newest() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// over reports whether the process has ended.
func (p *process) over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to this process. One that has ended meanwhile needs none.
func (p *process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	switch sig {
	case syscall.SIGTERM:
		if p.termAt.IsZero() {
			p.termAt = time.Now()
		}
	case syscall.SIGKILL:
		p.killed = true
	}
	p.mu.Unlock()
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// end ends the process: by a planned stop, or else at once. A planned stop that takes too long is ended
// as the platform does, well after its grace.
func (p *process) end(planned bool) error {
	sig := syscall.SIGKILL
	if planned {
		sig = syscall.SIGTERM
	}
	if err := p.signal(sig); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(patience*grace + mostFault):
	}
	_ = p.cmd.Process.Kill() // the judge hears of an end after too long
	<-p.ended
	return nil
}

// askReady asks whether new connections may be given to the process, as the platform does.
func (p *process) askReady(c *http.Client) {
	resp, err := c.Get("http://" + p.readiness + "/readiness")
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses++
	p.askedAt = time.Now()
	if ready {
		p.misses = 0
	}
}

// ready reports whether new connections are given to the process.
func (p *process) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.misses < 2 && time.Since(p.askedAt) < askTime
}

// usageOf returns what a process holds.
func (p *process) usageOf() (files int, bytes int64, err error) {
	proc := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	fds, err := os.ReadDir(filepath.Join(proc, "fd"))
	if err != nil {
		return 0, 0, err
	}
	statm, err := os.ReadFile(filepath.Join(proc, "statm"))
	if err != nil {
		return 0, 0, err
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(statm), &size, &resident); err != nil {
		return 0, 0, err
	}
	return len(fds), resident * int64(os.Getpagesize()), nil
}
