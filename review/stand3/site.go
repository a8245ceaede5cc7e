//go:build review

package main

import (
	"bufio"
	"bytes"
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

	"curlewsill.org/curlewsill/platform/standin"
)

// The bounds of the site frostline-sched.
const (
	service  = "thermal-analytics"
	hostName = "jobs.example"
	maxLease = 10 * time.Second
	stopTime = 900 * time.Millisecond
	noticeMs = 4500 * time.Millisecond
	deadline = 3 * time.Second
)

// settingsText is deploy/site.ini, filled for a process on loopback.
const settingsText = `[host]
id = %s
domain = z1
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
link_mbps = 1000.0
grace = 6s
[workers]
max_lease = 10000ms
stop = 900ms
save = 1s
keep_ended = 120s
cancel = 3000ms
[machines]
%shandover = 3000ms
away = 2s
[log]
level = info
`

// site is a small deployment on loopback.
type site struct {
	dir     string
	program string
	store   *standin.Store
	address string
	// machines is the address of the service of machines; empty if there is none.
	machines  string
	hosts     []*host
	executors []*executor
	stops     []func()

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	began   time.Time
	running map[string]*seenRun
	past    []*seenRun
}

// seenRun is a run as its executor saw it.
type seenRun struct {
	executor, task, how string
	number              int
	fence               uint64
	work                work
	from, to            time.Time
	// notedAt is when the owner has taken note of the end.
	notedAt time.Time
}

// noted records that the owner has taken note of the end of a run.
func (s *site) noted(executor, task string, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.past {
		if x.executor == executor && x.task == task && x.number == number {
			x.notedAt = time.Now()
		}
	}
	s.write("noted", "task", task, "run", number, "executor", executor)
}

// newSite starts the stand-ins of the platform.
func newSite(program, record string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, program: program, store: standin.NewStore(), file: file, record: bufio.NewWriter(file), began: time.Now(), running: map[string]*seenRun{}}
	address, stop, err := standin.Listen(s.store)
	if err != nil {
		return nil, err
	}
	s.address = address
	s.stops = append(s.stops, stop)
	return s, nil
}

// close ends all processes and stand-ins.
func (s *site) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, stop := range s.stops {
		stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
	_ = os.RemoveAll(s.dir)
}

// event writes a line to the record. The arguments are names and values.
func (s *site) event(kind string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, args...)
}

func (s *site) write(kind string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f %s", time.Since(s.began).Seconds(), kind)
	for i := 0; i+1 < len(args); i += 2 {
		fmt.Fprintf(s.record, " %v=%v", args[i], args[i+1])
	}
	fmt.Fprintln(s.record)
	_ = s.record.Flush()
}

func key(task string, number int, executor string) string {
	return fmt.Sprintf("%s#%d@%s", task, number, executor)
}

// beganRun records the start of a run.
func (s *site) beganRun(executor string, r *taskRun, fence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[key(r.task, r.number, executor)] = &seenRun{executor: executor, task: r.task, number: r.number, fence: fence, work: r.work, from: time.Now()}
	s.write("began", "task", r.task, "run", r.number, "executor", executor, "fence", fence)
}

// ended records the end of a run.
func (s *site) ended(executor string, r *taskRun, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key(r.task, r.number, executor)
	x := s.running[k]
	if x == nil {
		return
	}
	delete(s.running, k)
	x.to, x.how = time.Now(), how
	s.past = append(s.past, x)
	s.write("ended", "task", r.task, "run", r.number, "executor", executor, "how", how)
}

// runsOf returns the runs of a job, ended and running.
func (s *site) runsOf(job string) []seenRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []seenRun
	for _, x := range s.past {
		if strings.HasPrefix(x.task, job+".") {
			out = append(out, *x)
		}
	}
	for _, x := range s.running {
		if strings.HasPrefix(x.task, job+".") {
			out = append(out, *x)
		}
	}
	return out
}

// host is a machine of the system.
type host struct {
	site    *site
	name    string
	cmd     *exec.Cmd
	callers string
	ended   chan struct{}
	// counted is set once the end of the process was counted.
	counted bool
}

// startHost starts a process with the command of the deploy file, and waits until
// it listens.
func (s *site) startHost(name string) (*host, error) {
	return s.startHostAt(name, s.address)
}

// startHostAt is startHost for a host with its own address of the store.
func (s *site) startHostAt(name, store string) (*host, error) {
	machines := ""
	if s.machines != "" {
		machines = "address = " + s.machines + "\n"
	}
	file := filepath.Join(s.dir, fmt.Sprintf("%s-%d.ini", name, time.Now().UnixNano()))
	if err := os.WriteFile(file, fmt.Appendf(nil, settingsText, name, store, machines), 0o600); err != nil {
		return nil, err
	}
	h := &host{site: s, name: name, ended: make(chan struct{})}
	h.cmd = exec.Command(s.program, "site")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURLEWSILL_BOOT=" + file}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	h.cmd.Stderr = h.cmd.Stdout
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	listening := make(chan string, 1)
	go h.read(out, listening)
	select {
	case h.callers = <-listening:
	case <-h.ended:
		return nil, fmt.Errorf("%s has ended at its start", name)
	case <-time.After(20 * time.Second):
		h.kill()
		return nil, fmt.Errorf("%s doesn't listen", name)
	}
	s.event("host", "name", name, "pid", h.cmd.Process.Pid, "callers", h.callers)
	s.hosts = append(s.hosts, h)
	return h, nil
}

// notedLines are the messages of a host's log that are copied to the record.
var notedLines = []string{"\"owner\"", "owner-ended", "job-ended", "invariant-violated", "crash-counted", "task-stop", "panic:", "upkeep", "wave", "worker-replaced", "task-lost", "report-rejected"}

// read reads the log of a host.
func (h *host) read(out io.Reader, listening chan<- string) {
	defer close(h.ended)
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		line := in.Text()
		var m struct{ Msg, Callers string }
		if json.Unmarshal([]byte(line), &m) == nil && m.Msg == "started" {
			listening <- m.Callers
		}
		for _, n := range notedLines {
			if strings.Contains(line, n) {
				h.site.event("log", "host", h.name, "line", line)
				break
			}
		}
	}
	_ = h.cmd.Wait()
	h.site.event("exit", "host", h.name, "status", h.cmd.ProcessState)
}

// alive reports whether the process has not ended.
func (h *host) alive() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (h *host) kill() {
	if h.alive() {
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.ended
	}
}

// route is a queue in the configuration. Its path prefix is its name between slashes.
type route struct {
	name      string
	priority  int
	attempts  int
	anonymous bool
}

// tenants are the tenants of a configuration, with their keys.
type tenants map[string][]string

var bothTenants = tenants{"north": {"key-north"}, "south": {"key-south"}}

// configure writes a version of the configuration with queues of two tenants.
func (s *site) configure(version int, routes []route, keys tenants) {
	type object = map[string]any
	var out []object
	for _, r := range routes {
		out = append(out, object{
			"Name": r.name, "Hostname": hostName, "PathPrefix": "/" + r.name + "/", "Priority": r.priority, "Backend": service,
			"MaxAttempts": r.attempts, "Extension": 3, "TargetLatencyMs": 1000, "AllowAnonymous": r.anonymous,
		})
	}
	var list []object
	for _, name := range []string{"north", "south"} {
		list = append(list, object{"Name": name, "ApiKeys": keys[name], "Guaranteed": object{"Gpus": 8}})
	}
	b, err := json.Marshal(object{
		"Version": version, "Routes": out, "Backends": []object{{"Name": service, "RejectsOverload": true}}, "Tenants": list,
	})
	if err != nil {
		panic(err)
	}
	s.event("config", "version", version, "routes", routes, "keys", keys)
	s.store.Put("keyed.op", "config", b)
}

// client is a client with connections of its own.
type client struct {
	site *site
	key  string
	http *http.Client
}

func (s *site) newClient(key string) *client {
	return &client{site: s, key: key, http: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, Timeout: deadline}}
}

// call makes one call to a host. The status is 0 if there was no answer.
func (c *client) call(h *host, method, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+h.callers+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		c.site.event("call", "method", method, "path", path, "host", h.name, "error", err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	c.site.event("call", "method", method, "path", path, "host", h.name, "status", resp.StatusCode, "body", strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// submit hands a job in, at one live host after the other, until it is accepted.
func (c *client) submit(path string, job map[string]any) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	for try := range 30 {
		live := c.site.live()
		if len(live) == 0 {
			return fmt.Errorf("%w: no host is up", errSetUp)
		}
		if status, _ := c.call(live[try%len(live)], http.MethodPost, path, body); status/100 == 2 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s was not accepted", path)
}

// state returns the state of a job as a live host tells it; empty if none does.
func (c *client) state(path string) string {
	for try := range 10 {
		live := c.site.live()
		if len(live) == 0 {
			return ""
		}
		status, text := c.call(live[try%len(live)], http.MethodGet, path, nil)
		var out struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &out) == nil {
			return out.State
		}
		if status == http.StatusGone {
			return "gone"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// live returns the hosts whose processes run.
func (s *site) live() []*host {
	var out []*host
	for _, h := range s.hosts {
		if h.alive() {
			out = append(out, h)
		}
	}
	return out
}

// pollState is the pause between two questions of a client for a state.
const pollState = 500 * time.Millisecond

// wait waits until a condition holds, and reports whether it came to hold in time.
func wait(limit time.Duration, holds func() bool) bool {
	return waitEvery(20*time.Millisecond, limit, holds)
}

// waitEvery is wait with a pause between two checks.
func waitEvery(pause, limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		if holds() {
			return true
		}
	}
	return holds()
}
