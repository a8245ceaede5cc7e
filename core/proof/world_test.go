// Package proof_test runs the cores of several hosts against small fakes of the
// platform, in one goroutine and on a virtual clock, and checks invariants
// while they run. Each script under testdata/script causes one kind of failure;
// the long run combines failures at random. The package is no performance model
// of a cluster: operations have no cost and links no bandwidth.
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
	// tickEvery, readEvery and listEvery are the intervals at which a host gets a
	// tick, the new records of the log, and the host list.
	tickEvery = 50 * time.Millisecond
	readEvery = 100 * time.Millisecond
	listEvery = time.Second
	// svcTimeout is the timeout of the service that requests are for.
	svcTimeout = 10 * time.Second
	// clockStart is the virtual time at which a world begins.
	clockStart = unit.Instant(1_700_000_000_000_000_000)
)

// logMode determines how the fake log answers reads and appends.
type logMode string

const (
	logFine logMode = "fine"
	// logRefuse refuses reads and appends at once.
	logRefuse logMode = "refuse"
	// logHang refuses reads, and lets appends time out after 5 s.
	logHang logMode = "hang"
	// logLose applies appends but answers that they failed.
	logLose logMode = "lose"
	// logLate answers that appends failed, and applies them much later.
	logLate logMode = "late"
)

// timer is a function to call at a time. Timers with the same time are called
// in the order of seq, in which they were created.
type timer struct {
	at  unit.Instant
	seq uint64
	do  func()
}

// timers is a heap of timers, which begins with the earliest one.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].at, t[j].at), cmp.Compare(t[i].seq, t[j].seq)) < 0
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// machine is one entry host: its core, and the failures that affect it.
type machine struct {
	name        id.Host
	core        *node.Node
	incarnation id.Incarnation
	up          bool
	paused      bool
	// queued holds events that arrived while the host was paused.
	queued []node.Event
	// nextOffset is the offset of the next record to read from the log.
	nextOffset id.Offset
	// logCut and peersCut are set while the host can't reach the log or any peer;
	// workersCut is set for each worker that it can't reach.
	logCut, peersCut bool
	workersCut       map[id.Worker]bool
	// faults holds the violated invariants that the core itself reported.
	faults []error
	// highestConfig is the highest configuration offset that the host had while
	// ready.
	highestConfig id.Offset
	stopped       bool
	// resumedAt is when the host was last resumed.
	resumedAt unit.Instant
}

// world holds the simulated hosts and their environment, such as the log, the
// workers and the backend servers. It records what happens.
type world struct {
	now    unit.Instant
	rng    *rand.Rand
	timers timers
	// seq is the number of timers created so far, and events the number of
	// timers called so far.
	seq    uint64
	events int

	log *fakelog.Log
	// ref is the reference state: the state after all records of the log, to
	// which the states of the hosts are compared.
	ref  *state.State
	mode logMode
	// lateBy is the delay after which logLate applies appends.
	lateBy   time.Duration
	machines map[id.Host]*machine
	workers  map[id.Worker]*fakeWorker
	backends map[id.Backend]*backend
	// listLag is how long the host list still shows a backend server as staying
	// after it began to leave.
	listLag time.Duration
	// netLoss is the share of messages between hosts and workers that are lost.
	// netDup is the share of syncs that are sent twice, and also the share of
	// syncs that arrive up to 15 s late.
	netLoss, netDup float64

	calls map[callID]*call
	// keyRuns counts executions of requests that must run at most once, by key.
	keyRuns     map[state.Key]int
	lastRequest id.Request
	// verdicts holds the verdict on each proposal, by the name of the proposal;
	// nil if it was accepted.
	verdicts map[string]error
	// tickets holds the name of each proposal.
	tickets    map[node.Ticket]string
	lastTicket node.Ticket
	// startCounts counts how often each task was started.
	startCounts map[taskKey]int
	gangs       map[gangKey]*gangWatch
	// acceptedAt holds when each accepted configuration was appended to the
	// log, by its offset.
	acceptedAt map[id.Offset]unit.Instant
	// violations describes the violated invariants.
	violations []string
	// submitted holds each job as it was first submitted.
	submitted map[id.Job]record.Job
	// lastDisruption is when a host was last started by a command or resumed, a
	// connection to the log or to peers last cut or restored, or the mode of
	// the log last set.
	lastDisruption unit.Instant
}

// fakeWorker is a worker that can fail. A down worker has lost its tasks; a
// silent one runs its tasks and answers no sync.
type fakeWorker struct {
	*fakeworker.Worker
	id           id.Worker
	accelerators int
	down, silent bool
	incarnation  uint64
	// startedAt is when the current incarnation started.
	startedAt unit.Instant
}

// backend is a backend server.
type backend struct {
	// mode is one of:
	//   - fine, or empty: answers requests;
	//   - down: can't be reached;
	//   - leave: refuses requests because it is leaving;
	//   - refuse: refuses requests for lack of a slot;
	//   - cut: runs requests, but the connection breaks before the answer is complete;
	//   - hang: runs requests and answers neither them nor probes.
	mode string
	// leavingSince is when the backend server began to leave; 0 if it isn't
	// leaving.
	leavingSince unit.Instant
	// serviceTime is how long a request runs, and busy the number of requests
	// that are running.
	serviceTime time.Duration
	busy        int
}

// callID identifies a call.
type callID struct {
	host id.Host
	req  id.Request
}

// call is one caller's request.
type call struct {
	name    string
	request route.Request
	// runs counts executions at backend servers; completeAttempts has the numbers
	// of the attempts whose complete answer arrived.
	runs             int
	completeAttempts map[int]bool
	replies          []route.Reply
	// callerGone is set once the caller or the host that took the request is
	// gone.
	callerGone bool
	arrivedAt  unit.Instant
	// incarnation is the incarnation of the host that took the request.
	incarnation id.Incarnation
}

// deadline returns when the final answer is due: at the caller's deadline or
// after the service's timeout, whichever is earlier, but not before the last
// disruption, because the host may have been paused until then. Two ticks are
// added.
func (c *call) deadline(w *world) unit.Instant {
	d := c.arrivedAt.Add(svcTimeout)
	if c.request.Deadline != 0 && c.request.Deadline < d {
		d = c.request.Deadline
	}
	return max(d, w.lastDisruption).Add(2 * tickEvery)
}

// taskKey identifies a task on a worker.
type taskKey struct {
	worker id.Worker
	job    id.Job
	lease  id.Lease
}

// gangKey identifies a gang.
type gangKey struct {
	job   id.Job
	lease id.Lease
}

// gangWatch records on how many of its workers a gang runs.
type gangWatch struct {
	// size is the number of workers of the gang.
	size int
	// running has the workers on which a task of the gang runs, and exited
	// counts the tasks that exited.
	running map[id.Worker]bool
	exited  int
	// partialSince is when the gang began to run on only some of its workers; 0
	// if it runs on all or none of them.
	partialSince unit.Instant
}

func newWorld(seed uint64) *world {
	return &world{
		now: clockStart, rng: rand.New(rand.NewPCG(seed, 1)), log: fakelog.New(1 << 20), ref: state.New(), mode: logFine,
		lateBy: 2 * time.Minute, machines: map[id.Host]*machine{}, workers: map[id.Worker]*fakeWorker{},
		backends: map[id.Backend]*backend{}, calls: map[callID]*call{}, keyRuns: map[state.Key]int{},
		verdicts: map[string]error{}, tickets: map[node.Ticket]string{}, startCounts: map[taskKey]int{},
		submitted: map[id.Job]record.Job{}, lastDisruption: clockStart,
		gangs: map[gangKey]*gangWatch{}, acceptedAt: map[id.Offset]unit.Instant{},
	}
}

// schedule calls do after d.
func (w *world) schedule(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.timers, timer{w.now.Add(d), w.seq, do})
}

// run advances the virtual clock by d and calls the timers that are due.
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

// reportViolation records a violated invariant, with the time since clockStart.
func (w *world) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s: ", w.now.Sub(clockStart))+fmt.Sprintf(format, args...))
}

// startHost starts a host, or restarts it with a new incarnation.
func (w *world) startHost(name id.Host) *machine {
	m := w.machines[name]
	if m == nil {
		m = &machine{name: name}
		w.machines[name] = m
	}
	incarnation := id.Incarnation(w.rng.Uint64())
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64()))
	*m = machine{
		name: name, incarnation: incarnation, up: true, nextOffset: 1, workersCut: map[id.Worker]bool{}, highestConfig: m.highestConfig,
		core: node.New(name, incarnation, w.now, place.Packing(), rng),
	}
	w.repeat(m, tickEvery, func() { w.step(m, node.Tick{}) })
	w.repeat(m, readEvery, func() { w.readLog(m) })
	w.repeat(m, listEvery, func() { w.sendHostList(m) })
	return m
}

// repeat calls do at intervals of d while the current incarnation of the host is
// up, except while it is paused. The first call is after a random delay below d.
func (w *world) repeat(m *machine, d time.Duration, do func()) {
	incarnation := m.incarnation
	var again func()
	again = func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		if !m.paused {
			do()
		}
		w.schedule(d, again)
	}
	w.schedule(time.Duration(w.rng.Int64N(int64(d))), again)
}

// step delivers an event to a host and performs the actions that result. If the
// host is paused, it gets the event when it is resumed.
func (w *world) step(m *machine, ev node.Event) {
	if !m.up {
		return
	}
	if m.paused {
		m.queued = append(m.queued, ev)
		return
	}
	a := m.core.Step(w.now, ev)
	m.faults = append(m.faults, a.Faults...)
	for _, err := range a.Faults {
		w.reportViolation("%s: %v", m.name, err)
	}
	w.perform(m, a)
	w.checkHostConfig(m)
}

// perform executes the actions that a step of a host returned.
func (w *world) perform(m *machine, a node.Actions) {
	incarnation := m.incarnation
	if a.Append != nil {
		w.handleAppend(m, incarnation, a.Append)
	}
	for _, f := range a.Frames {
		w.sendFrame(m, f)
	}
	for _, s := range a.Syncs {
		w.sendSync(m, incarnation, s)
	}
	for _, s := range a.Sends {
		w.sendAttempt(m, incarnation, s)
	}
	for _, p := range a.Probes {
		w.probe(m, incarnation, p)
	}
	for _, r := range a.Replies {
		w.reply(m, r)
	}
	for _, s := range a.Verdicts {
		w.verdicts[w.tickets[s.Ticket]] = s.Verdict
	}
	if a.Stopped {
		m.stopped, m.up = true, false
		w.checkStopped(m)
	}
}

// stepIncarnation delivers an event to a host if the incarnation is still its
// current one.
func (w *world) stepIncarnation(m *machine, incarnation id.Incarnation, ev node.Event) {
	if m.incarnation == incarnation {
		w.step(m, ev)
	}
}

// delay returns a random delay of a message, from 1 to 5 ms.
func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(4*time.Millisecond)))
}

// handleAppend applies, refuses, loses or delays an append of a host, according
// to the mode of the log.
func (w *world) handleAppend(m *machine, incarnation id.Incarnation, raw []byte) {
	failed := func(after time.Duration) {
		w.schedule(after, func() { w.stepIncarnation(m, incarnation, node.AppendFailed{}) })
	}
	mode := w.mode
	if m.logCut {
		mode = logRefuse
	}
	switch mode {
	case logRefuse:
		failed(w.delay())
	case logHang:
		failed(5 * time.Second)
	case logLose:
		w.schedule(w.delay(), func() { w.appendToLog(raw) })
		failed(w.delay())
	case logLate:
		w.schedule(w.lateBy, func() { w.appendToLog(raw) })
		failed(w.delay())
	default:
		w.schedule(w.delay(), func() { w.appendToLog(raw) })
	}
}

// appendToLog appends a record to the log, applies it to the reference state, and
// records when configurations were accepted.
func (w *world) appendToLog(raw []byte) {
	off := w.log.Append(raw)
	a, err := w.ref.Apply(off, raw)
	if err != nil {
		w.reportViolation("reference state: %v", err)
		return
	}
	for i, e := range a.Batch.Entries {
		if e.Configure != nil && a.Verdicts[i] == nil {
			w.acceptedAt[off] = w.now
		}
	}
}

// readLog delivers the next records of the log to a host.
func (w *world) readLog(m *machine) {
	if m.logCut || w.mode == logRefuse || w.mode == logHang {
		w.step(m, node.LogDown{})
		return
	}
	first, raw := w.log.Read(m.nextOffset, 64)
	m.nextOffset = max(first+id.Offset(len(raw)), m.core.Applied()+1)
	w.step(m, node.Records{First: first, Raw: raw, Head: w.log.Head()})
}

// sendHostList delivers the host list to a host. The list shows a leaving
// backend server as leaving only after listLag.
func (w *world) sendHostList(m *machine) {
	ev := node.HostList{Backends: map[id.Service]map[id.Backend]bool{"svc": {}}}
	for _, h := range config.SortedKeys(w.machines) {
		if w.machines[h].up {
			ev.EntryHosts = append(ev.EntryHosts, h)
		}
	}
	for _, b := range config.SortedKeys(w.backends) {
		leavingSince := w.backends[b].leavingSince
		ev.Backends["svc"][b] = leavingSince == 0 || w.now.Sub(leavingSince) < w.listLag
	}
	w.step(m, ev)
}

// sendFrame sends a frame of a host to a peer, if they can reach each other.
func (w *world) sendFrame(m *machine, f node.Frame) {
	to := w.machines[f.To]
	if m.peersCut || to == nil || to.peersCut || !to.up {
		return
	}
	incarnation := to.incarnation
	w.schedule(w.delay(), func() { w.stepIncarnation(to, incarnation, node.FrameReceived{Frame: f.Frame}) })
}

// sendSync sends a sync to a worker, and the worker's report back. Either may
// be lost, and the sync may also be sent twice or arrive late.
func (w *world) sendSync(m *machine, incarnation id.Incarnation, s worker.Sync) {
	times := 1
	if w.rng.Float64() < w.netDup {
		times = 2
	}
	for range times {
		if m.workersCut[s.Worker] || w.rng.Float64() < w.netLoss {
			continue
		}
		d := w.delay()
		if w.rng.Float64() < w.netDup {
			d += time.Duration(w.rng.Int64N(int64(15 * time.Second)))
		}
		w.schedule(d, func() { w.deliverSync(m, incarnation, s) })
	}
}

// deliverSync applies a sync at the worker and sends its report to the host.
func (w *world) deliverSync(m *machine, incarnation id.Incarnation, s worker.Sync) {
	f := w.workers[s.Worker]
	if f == nil || f.down || f.silent {
		return
	}
	rep := f.Sync(w.now.Sub(f.startedAt), s)
	if m.workersCut[s.Worker] || w.rng.Float64() < w.netLoss {
		return
	}
	w.schedule(w.delay(), func() { w.stepIncarnation(m, incarnation, node.Report{Report: rep}) })
}

// addWorker adds a worker, or restarts it with a new incarnation.
func (w *world) addWorker(name id.Worker, accelerators int) {
	f := w.workers[name]
	if f == nil {
		f = &fakeWorker{id: name, accelerators: accelerators}
		w.workers[name] = f
		w.runWorkerClock(f)
	} else {
		w.killWorker(name)
	}
	f.incarnation++
	f.down, f.startedAt = false, w.now
	f.Worker = fakeworker.New(name, accelerators, f.incarnation, fakeworker.Hooks{
		RunOf:   func(t worker.WantedTask) fakeworker.Run { return parseRun(t.Command) },
		Started: func(j id.Job, n id.Lease) { w.taskStarted(name, j, n) },
		Ended:   func(j id.Job, n id.Lease, st worker.TaskState) { w.taskEnded(name, j, n, st) },
	})
}

// parseRun parses the command of a job: "run DURATION", or "crash DURATION" for
// a task that crashes after this time.
func parseRun(command string) fakeworker.Run {
	var verb, arg string
	_, _ = fmt.Sscanf(command, "%s %s", &verb, &arg)
	d, err := time.ParseDuration(arg)
	if err != nil {
		d = time.Second
	}
	return fakeworker.Run{Duration: d, Crash: verb == "crash"}
}

// runWorkerClock advances a worker's clock every 200 ms.
func (w *world) runWorkerClock(f *fakeWorker) {
	var again func()
	again = func() {
		if !f.down {
			f.Advance(w.now.Sub(f.startedAt))
		}
		w.schedule(200*time.Millisecond, again)
	}
	w.schedule(time.Millisecond, again)
}

// killWorker kills a worker, which ends all its tasks.
func (w *world) killWorker(name id.Worker) {
	f := w.workers[name]
	f.down = true
	for _, g := range w.gangs {
		if g.running[name] {
			w.memberStopped(g, name)
		}
	}
}

// probe carries out a probe, which asks a backend server whether it takes
// requests.
func (w *world) probe(m *machine, incarnation id.Incarnation, p route.Probe) {
	o := route.Complete
	switch b := w.backends[p.Backend]; {
	case b == nil || b.mode == "down":
		o = route.NotSent
	case b.mode == "leave":
		o = route.Leaving
	case b.mode == "hang":
		return
	}
	w.schedule(w.delay(), func() { w.stepIncarnation(m, incarnation, node.ProbeEnded{Probe: p, Outcome: o}) })
}

// sendAttempt sends an attempt of a request to a backend server.
func (w *world) sendAttempt(m *machine, incarnation id.Incarnation, a route.Attempt) {
	b := w.backends[a.Backend]
	c := w.calls[callID{m.name, a.Request}]
	if c == nil {
		c = &call{}
	}
	res := route.Result{Attempt: a, Outcome: route.Complete, Load: -1}
	end := func(after time.Duration, o route.Outcome) {
		w.schedule(after, func() {
			res.Outcome, res.Took = o, after
			if o == route.Complete && c.completeAttempts != nil {
				c.completeAttempts[a.Number] = true
			}
			w.stepIncarnation(m, incarnation, node.AttemptEnded{Result: res})
		})
	}
	w.checkSend(m, b, a)
	switch {
	case b == nil || b.mode == "down":
		end(w.delay(), route.NotSent)
	case b.mode == "leave":
		end(w.delay(), route.Leaving)
	case b.mode == "refuse" || b.busy >= 8:
		end(w.delay(), route.Busy)
	default:
		w.execute(b, c, a, end)
	}
}

// execute runs a request at a backend server. It reports a violation if the
// request or its key must run at most once and ran before.
func (w *world) execute(b *backend, c *call, a route.Attempt, end func(time.Duration, route.Outcome)) {
	c.runs++
	if c.request.Once && c.request.Key != "" {
		k := state.Key{Customer: c.request.Customer, Key: c.request.Key}
		w.keyRuns[k]++
		if w.keyRuns[k] > 1 {
			w.reportViolation("key %v ran %d times", k, w.keyRuns[k])
		}
	}
	if c.request.Once && c.runs > 1 {
		w.reportViolation("request %s ran %d times", c.name, c.runs)
	}
	d := b.serviceTime + w.delay()
	b.busy++
	w.schedule(d, func() { b.busy-- })
	switch b.mode {
	case "cut":
		end(d, route.Broken)
	case "hang":
		end(max(a.Deadline.Sub(w.now), 0), route.Broken)
	default:
		end(d, route.Complete)
	}
}

// propose asks a host to append an entry to the log. The verdict is recorded
// under name.
func (w *world) propose(m *machine, name string, e record.Entry) {
	w.lastTicket++
	w.tickets[w.lastTicket] = name
	if e.Submit != nil {
		if _, ok := w.submitted[e.Submit.Job.ID]; !ok {
			w.submitted[e.Submit.Job.ID] = e.Submit.Job
		}
	}
	w.step(m, node.Propose{Ticket: w.lastTicket, Entry: e})
}

// logReadableSince reports whether reads of the log are possible and no
// disruption has occurred since t.
func (w *world) logReadableSince(t unit.Instant) bool {
	return w.mode != logRefuse && w.mode != logHang && w.lastDisruption < t
}

// request sends a caller's request to a host.
func (w *world) request(m *machine, name string, q route.Request) {
	w.lastRequest++
	q.ID = w.lastRequest
	w.calls[callID{m.name, q.ID}] = &call{name: name, request: q, completeAttempts: map[int]bool{}, arrivedAt: w.now, incarnation: m.incarnation}
	w.step(m, node.RequestArrived{Request: q})
}

// anyHost returns the first host that is ready, not paused and able to reach
// the log, or nil if there is none.
func (w *world) anyHost() *machine {
	names := config.SortedKeys(w.machines)
	i := slices.IndexFunc(names, func(h id.Host) bool {
		m := w.machines[h]
		return m.up && !m.paused && !m.logCut && m.core.State() == node.Ready
	})
	if i < 0 {
		return nil
	}
	return w.machines[names[i]]
}
