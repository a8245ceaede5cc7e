//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which an executor writes its entry. Its entry goes
// after missedHeartbeats of silence.
const (
	heartbeat        = 1500 * time.Millisecond
	missedHeartbeats = 3
	// warmUp is how long a task that lasts takes until it is at work.
	warmUp = 300 * time.Millisecond
	// poll is how often an executor checks its runs and its lease.
	poll = 5 * time.Millisecond
)

// work is what a task does. The text of a task is "KIND DURATION GPUS", where KIND
// is long, done or failed, and GPUS is what the task takes of the executor's room.
type work struct {
	kind     string
	duration time.Duration
	gpus     int
}

func parseWork(text string) (work, error) {
	var w work
	f := strings.Fields(text)
	if len(f) != 3 {
		return w, fmt.Errorf("task text %q", text)
	}
	d, err := time.ParseDuration(f[1])
	if err != nil {
		return w, err
	}
	n, err := strconv.Atoi(f[2])
	return work{kind: f[0], duration: d, gpus: n}, err
}

// taskRun is one run of a task on an executor.
type taskRun struct {
	task    string
	number  int
	began   time.Time
	work    work
	stopAt  time.Time
	waiting bool
}

// percent returns the progress that the executor reports.
func (r *taskRun) percent(now time.Time) int {
	if r.work.kind == "long" {
		if now.Sub(r.began) < warmUp {
			return 0
		}
		return 100
	}
	return int(min(99, 100*now.Sub(r.began)/max(1, r.work.duration)))
}

// life is one incarnation of an executor. Its server is closed when it ends.
type life struct {
	id      string
	began   time.Time
	server  *http.Server
	address string

	mu       sync.Mutex
	over     bool
	fence    uint64
	leaseEnd int64
	runs     map[string]*taskRun
	highest  map[string]int
	ended    [][]any
	lastEnd  int
	lapsedAt int
	seq      int
}

// executor is a machine that runs tasks, one life after the other at one address.
type executor struct {
	site    *site
	machine string
	gpus    int
	address string
	number  int

	mu   sync.Mutex
	life *life
}

// newExecutor starts the first life of an executor.
func newExecutor(s *site, machine string, gpus int) (*executor, error) {
	x := &executor{site: s, machine: machine, gpus: gpus, address: "127.0.0.1:0"}
	return x, x.start()
}

// start begins a new life at the executor's address and lists it.
func (x *executor) start() error {
	lis, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.number++
	x.address = lis.Addr().String()
	l := &life{
		id: fmt.Sprintf("%s-%d", x.machine, x.number), began: time.Now().Add(-time.Second), address: x.address,
		runs: map[string]*taskRun{}, highest: map[string]int{},
	}
	x.life = l
	x.mu.Unlock()
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { x.serve(l, w, r) }), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(lis) }()
	go x.watch(l)
	go x.beat(l)
	x.site.event("up", "executor", x.machine, "id", l.id, "address", l.address)
	return nil
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// crash ends the present life without a word: all that runs there dies, and its
// address refuses connections.
func (x *executor) crash() {
	x.mu.Lock()
	l := x.life
	x.mu.Unlock()
	l.mu.Lock()
	l.over = true
	for _, r := range l.runs {
		x.site.ended(l.id, r, "crashed")
	}
	clear(l.runs)
	l.mu.Unlock()
	_ = l.server.Close()
	x.site.event("crash", "executor", x.machine, "id", l.id)
	time.AfterFunc(missedHeartbeats*heartbeat, func() { x.site.store.Put("keyed.servers", l.id, nil) })
}

// has reports whether the executor has a run of a job, and since when.
func (x *executor) has(job string) bool {
	x.mu.Lock()
	l := x.life
	x.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if strings.HasPrefix(r.task, job+".") {
			return true
		}
	}
	return false
}

// beat writes the entry of a life until it is over.
func (x *executor) beat(l *life) {
	for {
		l.mu.Lock()
		over := l.over
		l.seq++
		entry := map[string]any{
			"Backend": service, "Address": l.address, "Zone": "z1", "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Seq": l.seq, "ClockMs": l.clock(), "machine": x.machine,
			"Capacity": map[string]int{"Cpu": 64000, "MemMb": 262144, "Gpus": x.gpus}, "Labels": []string{"a", "r1"},
		}
		l.mu.Unlock()
		if over {
			return
		}
		b, err := json.Marshal(entry)
		if err != nil {
			panic(err)
		}
		x.site.store.Put("keyed.servers", l.id, b)
		time.Sleep(heartbeat)
	}
}

// clock is the executor's own clock in milliseconds.
func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() }

// watch ends runs that are due until the life is over.
func (x *executor) watch(l *life) {
	for {
		time.Sleep(poll)
		l.mu.Lock()
		if l.over {
			l.mu.Unlock()
			return
		}
		x.endDue(l)
		l.mu.Unlock()
	}
}

// endDue ends the runs that are due.
func (x *executor) endDue(l *life) {
	now, lapsed := time.Now(), l.leaseEnd != 0 && l.clock() > l.leaseEnd
	for _, r := range l.runs {
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case r.work.kind != "long" && now.Sub(r.began) >= r.work.duration:
			how = r.work.kind
		default:
			continue
		}
		delete(l.runs, r.task)
		l.lastEnd++
		l.ended = append(l.ended, []any{l.lastEnd, r.task, r.number, how, ""})
		x.site.ended(l.id, r, how)
	}
	if lapsed {
		l.leaseEnd, l.lapsedAt = 0, l.lastEnd
	}
}

// orderBody is the body of a call to an executor.
type orderBody struct {
	Task         string
	RunId        int
	TaskSpec     string
	UntilMs      int64
	FencingToken uint64
	LastSeen     int
	WaitMs       int64
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serve answers one call.
func (x *executor) serve(l *life, w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != l.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	l.mu.Lock()
	if l.over {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < l.fence {
		defer l.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"ClockMs": l.clock(), "Reason": "fence"})
		return
	}
	l.fence = o.FencingToken
	switch r.URL.Path {
	case "/run-start":
		defer l.mu.Unlock()
		x.runStart(l, w, o)
	case "/run-stop":
		defer l.mu.Unlock()
		x.site.event("order", "kind", "stop", "executor", l.id, "task", o.Task, "run", o.RunId, "fence", o.FencingToken)
		l.highest[o.Task] = max(l.highest[o.Task], o.RunId)
		if run := l.runs[o.Task]; run != nil && run.number == o.RunId && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime / 4)
		}
		reply(w, http.StatusOK, map[string]any{"ClockMs": l.clock()})
	case "/pace":
		defer l.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"ClockMs": l.clock()})
	case "/hold":
		l.mu.Unlock()
		x.hold(l, w, r, o)
	default:
		l.mu.Unlock()
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

// extend extends the lease to a time, at most by the longest lease.
func (l *life) extend(until int64) {
	if until > 0 {
		l.leaseEnd = max(l.leaseEnd, min(until, l.clock()+maxLease.Milliseconds()))
	}
}

// runStart starts a run, if the executor has room for it.
func (x *executor) runStart(l *life, w http.ResponseWriter, o orderBody) {
	refuse := func(reason string) {
		x.site.event("order", "kind", "start", "executor", l.id, "task", o.Task, "run", o.RunId, "fence", o.FencingToken, "refused", reason)
		reply(w, http.StatusConflict, map[string]any{"ClockMs": l.clock(), "Reason": reason})
	}
	if run := l.runs[o.Task]; run != nil && run.number == o.RunId {
		l.extend(o.UntilMs)
		reply(w, http.StatusOK, map[string]any{"ClockMs": l.clock()})
		return
	}
	if o.UntilMs <= l.clock() {
		refuse("late")
		return
	}
	l.extend(o.UntilMs)
	if o.RunId <= l.highest[o.Task] || l.runs[o.Task] != nil {
		refuse("old")
		return
	}
	job, err := parseWork(o.TaskSpec)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	used := 0
	for _, run := range l.runs {
		used += run.work.gpus
	}
	if used+job.gpus > x.gpus {
		refuse("room")
		return
	}
	l.highest[o.Task] = o.RunId
	run := &taskRun{task: o.Task, number: o.RunId, began: time.Now(), work: job}
	l.runs[o.Task] = run
	x.site.beganRun(l.id, run, o.FencingToken)
	reply(w, http.StatusOK, map[string]any{"ClockMs": l.clock()})
}

// hold renews the lease and answers with the runs and the ends.
func (x *executor) hold(l *life, w http.ResponseWriter, r *http.Request, o orderBody) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x.endDue(l)
	l.extend(o.UntilMs)
	for len(l.ended) > 0 && l.ended[0][0].(int) <= o.LastSeen {
		e := l.ended[0]
		l.ended = l.ended[1:]
		if e[0].(int) > l.lapsedAt {
			x.site.noted(l.id, e[1].(string), e[2].(int))
		}
	}
	until := time.Now().Add(min(2*time.Second, time.Duration(o.WaitMs)*time.Millisecond))
	for len(l.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil && !l.over {
		l.mu.Unlock()
		time.Sleep(poll)
		l.mu.Lock()
	}
	if l.over {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, run := range l.runs {
		running = append(running, []any{run.task, run.number, "", run.percent(time.Now()), 0})
	}
	ended := append([][]any{}, l.ended[:min(500, len(l.ended))]...)
	reply(w, http.StatusOK, map[string]any{"ClockMs": l.clock(), "Running": running, "Ended": ended})
}
