// Package proof_test runs several cores against small fakes of the platform, in one
// goroutine and on a virtual clock, and checks what must always hold after each
// step. Scripts under testdata/script bring about one failure each; the long run mixes them
// at random. It is no model of a cluster: nothing has a cost or a bandwidth.
package proof_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/config"
	fakelog "curlewsill.org/curlewsill/core/fake/log"
	fakeworker "curlewsill.org/curlewsill/core/fake/worker"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

const (
	tickEvery  = 50 * time.Millisecond
	readEvery  = 100 * time.Millisecond
	listEvery  = time.Second
	svcTimeout = 10 * time.Second
	epochZero  = unit.Instant(1_700_000_000_000_000_000)
)

// logMode is how the fake log behaves.
type logMode string

const (
	logFine   logMode = "fine"
	logRefuse logMode = "refuse"
	logHang   logMode = "hang"
	logLose   logMode = "lose"
	// logLate takes appends, says that they failed, and applies them much later.
	logLate logMode = "late"
)

// timer is something that happens at a time.
type timer struct {
	at    unit.Instant
	order uint64
	do    func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].at, t[j].at), cmp.Compare(t[i].order, t[j].order)) < 0
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// machine is one entry host.
type machine struct {
	name   id.Host
	core   *node.Node
	life   id.Incarnation
	up     bool
	paused bool
	// missed holds events that arrived while the host was paused.
	missed []node.Event
	next   id.Offset
	// noLog and noPeers cut the host off; noWorkers lists workers it can't reach.
	noLog, noPeers bool
	noWorkers      map[id.Worker]bool
	// faults are invariants that the core itself found violated.
	faults []error
	// config is the largest configuration offset that the host showed while ready.
	config  id.Offset
	stopped bool
	// resumed is when it last went on after a pause.
	resumed unit.Instant
}

// world is everything around the cores.
type world struct {
	now    unit.Instant
	rng    *rand.Rand
	timers timers
	order  uint64
	events int

	log *fakelog.Log
	// ref is the state that the log adds up to.
	ref      *state.State
	mode     logMode
	lateBy   time.Duration
	machines map[id.Host]*machine
	workers  map[id.Worker]*fakeWorker
	backends map[id.Backend]*backend
	// listLag delays the host list.
	listLag time.Duration
	// netLoss is the share of worker messages that are lost, and netDup that arrive
	// twice or late.
	netLoss, netDup float64

	calls   map[callID]*call
	keys    map[state.Key]int
	last    id.Request
	settled map[string]error
	tickets map[node.Ticket]string
	ticket  node.Ticket
	starts  map[start]int
	parts   map[holding]*partial
	// accepted is when each configuration was put on the log.
	accepted map[id.Offset]unit.Instant
	broken   []string
	// submitted has the jobs as they were submitted first.
	submitted map[id.Job]record.Job
	// disturbed is when a host was last resumed or a cut or an outage of the log
	// last ended.
	disturbed unit.Instant
}

type fakeWorker struct {
	*fakeworker.Worker
	id           id.Worker
	accelerators int
	down, silent bool
	life         uint64
	// born is when the current life began.
	born unit.Instant
}

type backend struct {
	mode string
	// left is when it began to refuse because it is leaving.
	left unit.Instant
	work time.Duration
	busy int
}

type callID struct {
	host id.Host
	req  id.Request
}

// call is one caller's request.
type call struct {
	name    string
	request route.Request
	// runs counts executions at backend servers; whole lists attempts whose whole
	// answer came back.
	runs    int
	whole   map[int]bool
	replies []route.Reply
	gone    bool
	at      unit.Instant
	// life is the life of the host that took the request.
	life id.Incarnation
}

// deadline is when the final answer is due: the caller's deadline or the service's
// timeout, and the time that the host may have been paused.
func (c *call) deadline(w *world) unit.Instant {
	d := c.at.Add(svcTimeout)
	if c.request.Deadline != 0 && c.request.Deadline < d {
		d = c.request.Deadline
	}
	return max(d, w.disturbed).Add(2 * tickEvery)
}

type start struct {
	worker id.Worker
	job    id.Job
	lease  id.Lease
}

type holding struct {
	job   id.Job
	lease id.Lease
}

// partial watches whether a gang runs in part.
type partial struct {
	size    int
	running map[id.Worker]bool
	exited  int
	// since is when the gang began to run in part; 0 if it doesn't.
	since unit.Instant
}

func newWorld(seed uint64) *world {
	return &world{
		now: epochZero, rng: rand.New(rand.NewPCG(seed, 1)), log: fakelog.New(1 << 20), ref: state.New(), mode: logFine,
		lateBy: 2 * time.Minute, machines: map[id.Host]*machine{}, workers: map[id.Worker]*fakeWorker{},
		backends: map[id.Backend]*backend{}, calls: map[callID]*call{}, keys: map[state.Key]int{},
		settled: map[string]error{}, tickets: map[node.Ticket]string{}, starts: map[start]int{},
		submitted: map[id.Job]record.Job{}, disturbed: epochZero,
		parts: map[holding]*partial{}, accepted: map[id.Offset]unit.Instant{},
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.timers, timer{w.now.Add(d), w.order, do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timers) > 0 && w.timers[0].at <= end {
		t := heap.Pop(&w.timers).(timer)
		w.now = max(w.now, t.at)
		w.events++
		t.do()
	}
	w.now = end
}

func (w *world) violated(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s: ", w.now.Sub(epochZero))+fmt.Sprintf(format, args...))
}

// startHost starts a host, or starts it again with a new life.
func (w *world) startHost(name id.Host) *machine {
	m := w.machines[name]
	if m == nil {
		m = &machine{name: name}
		w.machines[name] = m
	}
	life := id.Incarnation(w.rng.Uint64())
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64()))
	*m = machine{
		name: name, life: life, up: true, next: 1, noWorkers: map[id.Worker]bool{}, config: m.config,
		core: node.New(name, life, w.now, place.Packing(), rng),
	}
	w.every(m, tickEvery, func() { w.step(m, node.Tick{}) })
	w.every(m, readEvery, func() { w.read(m) })
	w.every(m, listEvery, func() { w.list(m) })
	return m
}

// every repeats something for one life of a host.
func (w *world) every(m *machine, d time.Duration, do func()) {
	life := m.life
	var again func()
	again = func() {
		if !m.up || m.life != life {
			return
		}
		if !m.paused {
			do()
		}
		w.after(d, again)
	}
	w.after(time.Duration(w.rng.Int64N(int64(d))), again)
}

func (w *world) step(m *machine, ev node.Event) {
	if !m.up {
		return
	}
	if m.paused {
		m.missed = append(m.missed, ev)
		return
	}
	a := m.core.Step(w.now, ev)
	m.faults = append(m.faults, a.Faults...)
	for _, err := range a.Faults {
		w.violated("%s: %v", m.name, err)
	}
	w.carryOut(m, a)
	w.checkHost(m)
}

func (w *world) carryOut(m *machine, a node.Actions) {
	life := m.life
	if a.Append != nil {
		w.append(m, life, a.Append)
	}
	for _, f := range a.Frames {
		w.frame(m, f)
	}
	for _, s := range a.Syncs {
		w.sync(m, life, s)
	}
	for _, s := range a.Sends {
		w.send(m, life, s)
	}
	for _, p := range a.Probes {
		w.probe(m, life, p)
	}
	for _, r := range a.Replies {
		w.reply(m, r)
	}
	for _, s := range a.Settled {
		w.settled[w.tickets[s.Ticket]] = s.Verdict
	}
	if a.Stopped {
		m.stopped, m.up = true, false
		w.checkStopped(m)
	}
}

// lifeStep delivers an event to a life of a host, if that life still is.
func (w *world) lifeStep(m *machine, life id.Incarnation, ev node.Event) {
	if m.life == life {
		w.step(m, ev)
	}
}

func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(4*time.Millisecond)))
}

// append is an append as the log's mode has it.
func (w *world) append(m *machine, life id.Incarnation, raw []byte) {
	failed := func(after time.Duration) {
		w.after(after, func() { w.lifeStep(m, life, node.AppendFailed{}) })
	}
	mode := w.mode
	if m.noLog {
		mode = logRefuse
	}
	switch mode {
	case logRefuse:
		failed(w.delay())
	case logHang:
		failed(5 * time.Second)
	case logLose:
		w.after(w.delay(), func() { w.land(raw) })
		failed(w.delay())
	case logLate:
		w.after(w.lateBy, func() { w.land(raw) })
		failed(w.delay())
	default:
		w.after(w.delay(), func() { w.land(raw) })
	}
}

// land puts a record on the log.
func (w *world) land(raw []byte) {
	off := w.log.Append(raw)
	a, err := w.ref.Apply(off, raw)
	if err != nil {
		w.violated("reference state: %v", err)
		return
	}
	for i, e := range a.Batch.Entries {
		if e.Configure != nil && a.Verdicts[i] == nil {
			w.accepted[off] = w.now
		}
	}
}

func (w *world) read(m *machine) {
	if m.noLog || w.mode == logRefuse || w.mode == logHang {
		w.step(m, node.LogDown{})
		return
	}
	first, raw := w.log.Read(m.next, 64)
	m.next = max(first+id.Offset(len(raw)), m.core.Applied()+1)
	w.step(m, node.Records{First: first, Raw: raw, Head: w.log.Head()})
}

// list hands the host list of a moment ago to a host.
func (w *world) list(m *machine) {
	ev := node.Hosts{Backends: map[id.Service]map[id.Backend]bool{"svc": {}}}
	for _, h := range config.Sorted(w.machines) {
		if w.machines[h].up {
			ev.Entry = append(ev.Entry, h)
		}
	}
	for _, b := range config.Sorted(w.backends) {
		left := w.backends[b].left
		ev.Backends["svc"][b] = left == 0 || w.now.Sub(left) < w.listLag
	}
	w.step(m, ev)
}

func (w *world) frame(m *machine, f node.Frame) {
	to := w.machines[f.To]
	if m.noPeers || to == nil || to.noPeers || !to.up {
		return
	}
	life := to.life
	w.after(w.delay(), func() { w.lifeStep(to, life, node.Heard{Frame: f.Frame}) })
}

// sync takes a message to a worker and the answer back; both may be lost, doubled
// or late.
func (w *world) sync(m *machine, life id.Incarnation, s worker.Sync) {
	times := 1
	if w.rng.Float64() < w.netDup {
		times = 2
	}
	for range times {
		if m.noWorkers[s.Worker] || w.rng.Float64() < w.netLoss {
			continue
		}
		d := w.delay()
		if w.rng.Float64() < w.netDup {
			d += time.Duration(w.rng.Int64N(int64(15 * time.Second)))
		}
		w.after(d, func() { w.arriveSync(m, life, s) })
	}
}

func (w *world) arriveSync(m *machine, life id.Incarnation, s worker.Sync) {
	f := w.workers[s.Worker]
	if f == nil || f.down || f.silent {
		return
	}
	rep := f.Sync(w.now.Sub(f.born), s)
	if m.noWorkers[s.Worker] || w.rng.Float64() < w.netLoss {
		return
	}
	w.after(w.delay(), func() { w.lifeStep(m, life, node.Report{Report: rep}) })
}

// addWorker adds a worker or gives it a new life.
func (w *world) addWorker(name id.Worker, accelerators int) {
	f := w.workers[name]
	if f == nil {
		f = &fakeWorker{id: name, accelerators: accelerators}
		w.workers[name] = f
		w.everyWorker(f)
	} else {
		w.killWorker(name)
	}
	f.life++
	f.down, f.born = false, w.now
	f.Worker = fakeworker.New(name, accelerators, f.life, fakeworker.Hooks{
		Plan:    func(t worker.Want) fakeworker.Run { return parseRun(t.Command) },
		Started: func(j id.Job, n id.Lease) { w.started(name, j, n) },
		Ended:   func(j id.Job, n id.Lease, st worker.TaskState) { w.ended(name, j, n, st) },
	})
}

func parseRun(command string) fakeworker.Run {
	var verb, arg string
	_, _ = fmt.Sscanf(command, "%s %s", &verb, &arg)
	d, err := time.ParseDuration(arg)
	if err != nil {
		d = time.Second
	}
	return fakeworker.Run{For: d, Crash: verb == "crash"}
}

// everyWorker lets a worker's clock run.
func (w *world) everyWorker(f *fakeWorker) {
	var again func()
	again = func() {
		if !f.down {
			f.Advance(w.now.Sub(f.born))
		}
		w.after(200*time.Millisecond, again)
	}
	w.after(time.Millisecond, again)
}

// killWorker ends a worker with all its tasks.
func (w *world) killWorker(name id.Worker) {
	f := w.workers[name]
	f.down = true
	for _, p := range w.parts {
		if p.running[name] {
			w.stopPart(p, name)
		}
	}
}

// probe asks a backend server whether it takes requests.
func (w *world) probe(m *machine, life id.Incarnation, p route.Probe) {
	o := route.Whole
	switch b := w.backends[p.Backend]; {
	case b == nil || b.mode == "down":
		o = route.Unreached
	case b.mode == "leave":
		o = route.Leaving
	case b.mode == "hang":
		return
	}
	w.after(w.delay(), func() { w.lifeStep(m, life, node.Probed{Probe: p, Outcome: o}) })
}

// send is an attempt at a backend server.
func (w *world) send(m *machine, life id.Incarnation, a route.Attempt) {
	b := w.backends[a.Backend]
	c := w.calls[callID{m.name, a.Request}]
	if c == nil {
		c = &call{}
	}
	res := route.Result{Attempt: a, Outcome: route.Whole, Load: -1}
	end := func(after time.Duration, o route.Outcome) {
		w.after(after, func() {
			res.Outcome, res.Took = o, after
			if o == route.Whole && c.whole != nil {
				c.whole[a.Number] = true
			}
			w.lifeStep(m, life, node.Ended{Result: res})
		})
	}
	w.checkSend(m, b, a)
	switch {
	case b == nil || b.mode == "down":
		end(w.delay(), route.Unreached)
	case b.mode == "leave":
		end(w.delay(), route.Leaving)
	case b.mode == "refuse" || b.busy >= 8:
		end(w.delay(), route.Busy)
	default:
		w.execute(b, c, a, end)
	}
}

// execute runs a request at a backend server.
func (w *world) execute(b *backend, c *call, a route.Attempt, end func(time.Duration, route.Outcome)) {
	c.runs++
	if c.request.Once && c.request.Key != "" {
		k := state.Key{Customer: c.request.Customer, Key: c.request.Key}
		w.keys[k]++
		if w.keys[k] > 1 {
			w.violated("key %v ran %d times", k, w.keys[k])
		}
	}
	if c.request.Once && c.runs > 1 {
		w.violated("request %s ran %d times", c.name, c.runs)
	}
	d := b.work + w.delay()
	b.busy++
	w.after(d, func() { b.busy-- })
	switch b.mode {
	case "cut":
		end(d, route.Broken)
	case "hang":
		end(max(a.Deadline.Sub(w.now), 0), route.Broken)
	default:
		end(d, route.Whole)
	}
}

// propose asks a host to write an entry; the verdict is kept under name.
func (w *world) propose(m *machine, name string, e record.Entry) {
	w.ticket++
	w.tickets[w.ticket] = name
	if e.Submit != nil {
		if _, ok := w.submitted[e.Submit.Job.ID]; !ok {
			w.submitted[e.Submit.Job.ID] = e.Submit.Job
		}
	}
	w.step(m, node.Propose{Ticket: w.ticket, Entry: e})
}

// quiet reports whether nothing has kept hosts from reading the log since t.
func (w *world) quiet(t unit.Instant) bool {
	return w.mode != logRefuse && w.mode != logHang && w.disturbed < t
}

// request sends a caller's request to a host.
func (w *world) request(m *machine, name string, q route.Request) {
	w.last++
	q.ID = w.last
	w.calls[callID{m.name, q.ID}] = &call{name: name, request: q, whole: map[int]bool{}, at: w.now, life: m.life}
	w.step(m, node.Arrived{Request: q})
}

// anyHost returns a host that is up and ready, or nil.
func (w *world) anyHost() *machine {
	names := config.Sorted(w.machines)
	i := slices.IndexFunc(names, func(h id.Host) bool {
		m := w.machines[h]
		return m.up && !m.paused && !m.noLog && m.core.State() == node.Ready
	})
	if i < 0 {
		return nil
	}
	return w.machines[names[i]]
}
