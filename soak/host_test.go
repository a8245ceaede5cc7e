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

// startTimeout bounds how long a process may take until it listens.
const startTimeout = 30 * time.Second

// maxProbeAge is the age from which the load balancer's last probe of a host no
// longer counts. A stopping host still accepts connections for 2.5 s. Within
// this time, two probes must show the load balancer that the host is stopping,
// even when the machine that runs the test is busy.
const maxProbeAge = 1200 * time.Millisecond

// host is a machine that runs one process after the other.
type host struct {
	site   *site
	number int
	// name is the machine's name; a replacement machine has a new one.
	name string

	mu      sync.Mutex
	process *process
}

// process is one process of curlewsilld, with the proxies between it and its
// callers and between it and the store.
type process struct {
	incarnation   string
	cmd           *exec.Cmd
	settings      string
	storeProxy    *faultproxy.Proxy // to the store
	callersProxy  *faultproxy.Proxy
	readinessAddr string
	peersAddr     string
	ended         chan struct{}

	mu sync.Mutex
	// termAt is when SIGTERM was sent, or zero if it wasn't. killed is set for
	// a process that SIGKILL ends.
	termAt time.Time
	killed bool
	// failedProbes counts the readiness probes since the last successful one.
	failedProbes int
	// probedAt is when the last probe ended.
	probedAt time.Time
}

// settingsText returns the settings of a host's process. machines is the address of the
// service of machines, empty in plans without one.
func settingsText(name, store, machines, level string) string {
	address := ""
	if machines != "" {
		address = "address = " + machines + "\n"
	}
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
%shandover = %v
away = 2s
[log]
level = %s
`, name, store, grace, maxLease, stopTime, evacuationBound, address, handover, level)
}

// start begins an incarnation of the host. It returns once the process listens
// or has ended.
func (h *host) start() {
	s := h.site
	p := &process{incarnation: s.uniqueName(h.name), ended: make(chan struct{}), storeProxy: s.newProxy(s.address), failedProbes: 2}
	p.settings = filepath.Join(s.dir, p.incarnation+".ini")
	if err := os.WriteFile(p.settings, []byte(settingsText(h.name, p.storeProxy.Addr(), s.machinesAddress, "info")), 0o600); err != nil {
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
	log, err := os.Create(filepath.Join(s.dir, p.incarnation+".log"))
	if err != nil {
		s.t.Error(err)
		return
	}
	if err := p.cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	listening := make(chan struct{})
	go h.readLog(p, out, log, listening)
	select {
	case <-listening:
	case <-time.After(startTimeout):
		s.t.Errorf("%s doesn't listen after %v", p.incarnation, startTimeout)
	}
	h.mu.Lock()
	h.process = p
	h.mu.Unlock()
}

// readLog copies and scans a process's log until the process ends, and records
// its exit.
func (h *host) readLog(p *process, out io.Reader, log *os.File, listening chan struct{}) {
	defer close(p.ended)
	var once sync.Once
	in := bufio.NewScanner(io.TeeReader(out, log))
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		line := in.Text()
		if strings.Contains(line, "invariant-violated") || strings.HasPrefix(line, "panic:") || strings.Contains(line, "DATA RACE") {
			h.site.record(event{Kind: eventLogged, Host: p.incarnation, Text: line})
		}
		var m struct{ Msg, Callers, Readiness, Peers string }
		if p.callersProxy == nil && json.Unmarshal([]byte(line), &m) == nil && m.Msg == "started" {
			p.readinessAddr, p.peersAddr = m.Readiness, m.Peers
			p.callersProxy = h.site.newProxy(m.Callers)
			once.Do(func() { close(listening) })
		}
	}
	err := p.cmd.Wait()
	_ = log.Close()
	once.Do(func() { close(listening) })
	e := event{Kind: eventExited, Host: p.incarnation, Status: p.cmd.ProcessState.ExitCode()}
	p.mu.Lock()
	e.Planned, e.Killed = !p.termAt.IsZero(), p.killed
	if e.Planned {
		e.Took = time.Since(p.termAt)
	}
	p.mu.Unlock()
	if err != nil {
		e.Text = err.Error()
	}
	if p.callersProxy != nil {
		_ = p.callersProxy.Close()
	}
	_ = p.storeProxy.Close()
	h.site.record(e)
}

// running returns the running process, or nil if there is none.
func (h *host) running() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || h.process.hasEnded() {
		return nil
	}
	return h.process
}

// latest returns the process whose start completed last, even if it has ended:
// the load balancer learns of its end only by probes.
func (h *host) latest() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process. It is no error if the process has ended
// meanwhile.
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

// stop ends the process: planned with SIGTERM, otherwise at once with SIGKILL.
// A planned stop that takes far longer than grace is ended by SIGKILL, as the
// platform does.
func (p *process) stop(planned bool) error {
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
	case <-time.After(toleranceFactor*grace + maxFault):
	}
	_ = p.cmd.Process.Kill() // the judge reports this stop, since Took exceeds the bound
	<-p.ended
	return nil
}

// probeReadiness asks whether the process accepts new connections, as the
// platform's load balancer does.
func (p *process) probeReadiness(c *http.Client) {
	resp, err := c.Get("http://" + p.readinessAddr + "/readiness")
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedProbes++
	p.probedAt = time.Now()
	if ready {
		p.failedProbes = 0
	}
}

// ready reports whether the load balancer gives new connections to the process.
func (p *process) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedProbes < 2 && time.Since(p.probedAt) < maxProbeAge
}

// usage returns the number of open descriptors and the resident memory of the
// process.
func (p *process) usage() (files int, bytes int64, err error) {
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
