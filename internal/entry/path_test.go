package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/entry"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/platform/standin"
)

// deadline is when a script that makes no progress is given up. No script asserts how
// long something takes.
const deadline = 40 * time.Second

// TestPath plays scripts over the whole path: entry hosts with their listeners, and
// stand-ins of the store and the workers behind the same adapter as on the platform.
//
//	hosts N | workers N              starts so many
//	wave N MOST MACHINE...           the operator asks for maintenance; machines are m-0 and so on
//	maintained N                     waits until wave N is told to be completed
//	advice WORKER...                 from now on, starts need permits, which these don't get
//	submit HOST JOB TASKS PAYLOAD STATUS [key=K] [attempts...]
//	again HOST JOB STATUS            submits the same job once more
//	cancel HOST JOB STATUS
//	state HOST JOB STATUS [STATE]
//	await HOST JOB STATE             asks until the job is in the state
//	awaitstatus HOST JOB STATUS      asks until the answer has the status
//	pending HOST N
//	store FAULT | worker N FAULT     none, busy, lost or silent
//	forget                           the store drops its history
//	kill HOST | start HOST
//	stop HOST | gone HOST            a planned stop begins | has ended
//	config VERSION KEY               the operator writes a configuration with another key
//	key KEY                          clients show this key from now on
//	starts JOB N                     all workers together have started N runs of it
//	metric HOST NAME                 the counter is served and not zero
func TestPath(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			newSite(t).run(string(data))
		})
	}
}

type site struct {
	t       *testing.T
	store   *standin.Store
	address string
	workers []*standin.Worker
	hosts   []*entry.Host
	stops   []context.CancelFunc
	ended   []chan struct{}
	advice  string
	// machines is the address of the service that takes machines down, taken what it did.
	machines string
	taken    *standin.Machines
	bodies   map[string]string
	key      string
	line     int
}

// work is what the payloads of the scripts do.
var work = map[string]standin.Work{
	"short": {Time: 20 * time.Millisecond}, "long": {Time: 700 * time.Millisecond}, "fails": {Fails: true}, "endless": {Time: time.Hour},
}

const configuration = `{"Version":1,
"Routes":[{"Name":"q","Hostname":"jobs.example","PathPrefix":"/q/","Priority":1,"Backend":"svc","MaxAttempts":2,"Extension":3,"TargetLatencyMs":1000}],
"Backends":[{"Name":"svc","RejectsOverload":true}],"Tenants":[{"Name":"c","ApiKeys":["key"],"Guaranteed":{"Gpus":8}},{"Name":"d","ApiKeys":["second"]}]}`

func newSite(t *testing.T) *site {
	s := &site{t: t, store: standin.NewStore(), bodies: map[string]string{}, key: "key"}
	server := httptest.NewServer(s.store)
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

func (s *site) run(text string) {
	for i, l := range strings.Split(text, "\n") {
		f := strings.Fields(l)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		s.line = i + 1
		s.do(f)
		if s.t.Failed() {
			return
		}
	}
}

func (s *site) failf(format string, args ...any) {
	s.t.Helper()
	s.t.Errorf("line %d: %s", s.line, fmt.Sprintf(format, args...))
}

func (s *site) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return n
}

func (s *site) do(f []string) {
	switch f[0] {
	case "hosts":
		for range s.number(f[1]) {
			s.hosts, s.stops, s.ended = append(s.hosts, nil), append(s.stops, nil), append(s.ended, nil)
			s.startHost(len(s.hosts) - 1)
		}
	case "start":
		s.startHost(s.number(f[1]))
	case "advice":
		s.startAdvice(f[1:])
	case "wave":
		body := fmt.Sprintf(`{"wave":%s,"Machines":["%s"],"FinishByS":8,"UpperLimit":%s}`, f[1], strings.Join(f[3:], `","`), f[2])
		s.store.Put("keyed.op", "wave/"+f[1], []byte(body))
	case "maintained":
		s.maintained(f[1])
	case "kill":
		s.stops[s.number(f[1])]()
	case "stop":
		s.hosts[s.number(f[1])].Stop()
	case "gone":
		select {
		case <-s.ended[s.number(f[1])]:
		case <-time.After(deadline):
			s.failf("host %s has not stopped", f[1])
		}
	case "config":
		c := strings.Replace(configuration, `"Version":1`, `"Version":`+f[1], 1)
		s.store.Put("keyed.op", "config", []byte(strings.Replace(c, `["key"]`, `["`+f[2]+`"]`, 1)))
	case "key":
		s.key = f[1]
	case "workers":
		for range s.number(f[1]) {
			s.startWorker()
		}
	case "store":
		s.store.SetFault(fault(f[1]))
	case "worker":
		s.workers[s.number(f[1])].SetFault(fault(f[2]))
	case "forget":
		s.store.Forget()
	default:
		s.ask(f)
	}
}

func fault(name string) standin.Fault {
	if name == "none" {
		return standin.FaultNone
	}
	return standin.Fault(name)
}

func (s *site) ask(f []string) {
	host := 0
	if f[0] != "starts" {
		host = s.number(f[1])
	}
	switch f[0] {
	case "submit":
		s.bodies[f[2]] = string(standin.JobBody(s.number(f[3]), f[4]))
		s.want(f[5], s.until(f[5], host, http.MethodPost, f[2]))
	case "again":
		s.want(f[3], s.until(f[3], host, http.MethodPost, f[2]))
	case "cancel":
		s.want(f[3], s.until(f[3], host, http.MethodDelete, f[2]))
	case "state":
		status, state := s.call(host, http.MethodGet, f[2])
		s.want(f[3], status)
		if len(f) > 4 && state != f[4] {
			s.failf("job %s is %s", f[2], state)
		}
	case "await":
		for end := time.Now().Add(deadline); ; time.Sleep(20 * time.Millisecond) {
			status, state := s.call(host, http.MethodGet, f[2])
			if state == f[3] {
				return
			}
			if time.Now().After(end) {
				s.failf("job %s is %s (%d)", f[2], state, status)
				return
			}
		}
	case "awaitstatus":
		s.want(f[3], s.until(f[3], host, http.MethodGet, f[2]))
	case "pending":
		s.pending(host, f[2])
	case "starts":
		s.starts(f[1], s.number(f[2]))
	case "metric":
		s.metric(host, f[2])
	default:
		s.t.Fatalf("line %d: unknown command %s", s.line, f[0])
	}
}

func (s *site) want(status string, got int) {
	s.t.Helper()
	if strconv.Itoa(got) != status {
		s.failf("status %d, want %s", got, status)
	}
}

// until repeats a call that is refused until it has the status, as clients do.
func (s *site) until(status string, host int, method, job string) int {
	for end := time.Now().Add(deadline); ; time.Sleep(50 * time.Millisecond) {
		got, _ := s.call(host, method, job)
		refused := got == 0 || got >= http.StatusInternalServerError
		if strconv.Itoa(got) == status || !refused && method != http.MethodGet || time.Now().After(end) {
			return got
		}
	}
}

func (s *site) call(host int, method, job string) (int, string) {
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte(s.bodies[job]))
	}
	req, err := http.NewRequest(method, "http://"+s.hosts[host].Callers()+"/q/"+job, body)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "jobs.example"
	req.Header.Set("Authorization", "Bearer "+s.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		State   string `json:"State"`
		Pending int    `json:"Pending"`
	}
	data, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(data, &out)
	if job == "" {
		return resp.StatusCode, strconv.Itoa(out.Pending)
	}
	return resp.StatusCode, out.State
}

func (s *site) pending(host int, want string) {
	for end := time.Now().Add(deadline); ; time.Sleep(20 * time.Millisecond) {
		_, got := s.call(host, http.MethodGet, "")
		if got == want {
			return
		}
		if time.Now().After(end) {
			s.failf("pending %s, want %s", got, want)
			return
		}
	}
}

func (s *site) starts(job string, want int) {
	got := 0
	for _, w := range s.workers {
		for task, n := range w.Starts() {
			if strings.HasPrefix(task, job+".") {
				got += n
			}
		}
	}
	if got != want {
		s.failf("%d runs of %s were started, want %d", got, job, want)
	}
}

func (s *site) metric(host int, name string) {
	resp, err := http.Get("http://" + s.hosts[host].Metrics() + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	for _, l := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(l, name) && !strings.HasSuffix(l, " 0") {
			return
		}
	}
	s.failf("%s is not served", name)
}

func (s *site) startHost(n int) {
	h, err := entry.New(settings.Site{
		Host: id.Host(fmt.Sprintf("host-%d", n)), Domain: "d", Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0",
		Store: s.address, Advice: s.advice, Machines: s.machines, Partitions: 12, LeastTTL: time.Second, Memory: 512 * unit.MiB, Grace: 3 * time.Second,
		Workers: dispatch.Config{
			MaxLease: 2 * time.Second, StopTime: 200 * time.Millisecond, SaveEvery: time.Second, KeepEnded: time.Minute,
			Handover: 100 * time.Millisecond, Away: 100 * time.Millisecond,
		},
	}, zap.NewNop())
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

func (s *site) startWorker() {
	n := len(s.workers)
	s.workers = append(s.workers, nil)
	s.startLife(n, fmt.Sprintf("w-%d", n))
	s.taken.SetLife(fmt.Sprintf("m-%d", n), s.workers[n].ID())
}

// startLife starts a life of the machine of a worker.
func (s *site) startLife(n int, name string) {
	w := standin.NewWorker(name, work)
	server := httptest.NewServer(w)
	s.t.Cleanup(server.CloseClientConnections)
	s.workers[n] = w
	s.store.PutWorker(name, strings.TrimPrefix(server.URL, "http://"))
}

// takeDown ends the life of a machine's worker and starts another one, whose id it returns.
func (s *site) takeDown(machine string) string {
	n, err := strconv.Atoi(strings.TrimPrefix(machine, "m-"))
	if err != nil || n >= len(s.workers) {
		s.failf("machine %s", machine)
		return ""
	}
	s.workers[n].SetFault(standin.FaultSilent)
	s.store.Put("keyed.servers", s.workers[n].ID(), nil)
	s.startLife(n, s.workers[n].ID()+"+")
	return s.workers[n].ID()
}

// maintained waits until a wave is told to be completed.
func (s *site) maintained(wave string) {
	for end := time.Now().Add(deadline); ; time.Sleep(20 * time.Millisecond) {
		status := string(s.store.Get("keyed.status", "wave/"+wave))
		if strings.Contains(status, "completed") {
			return
		}
		if time.Now().After(end) {
			s.failf("wave %s is %s; machines %v went down", wave, status, s.taken.Begun())
			return
		}
	}
}
