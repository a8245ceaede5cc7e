package soak

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// A wide plan also injects faults into incarnations of workers and their
// entries. These additional faults are drawn from separate random streams, so
// that they don't change the faults that drawPlan draws.

const (
	// queueStream is the random stream of a seed from which the names of queues
	// are drawn.
	queueStream = 5
	// maxServices bounds the number of services, including the first one.
	// minQueues and maxQueues bound the number of queues, excluding the first
	// one.
	maxServices, minQueues, maxQueues = 3, 3, 30
	// hostStopInterval is the interval at which hosts are ended one after the
	// other.
	hostStopInterval = 700 * time.Millisecond
)

// wideKind is a kind of fault of wide plans, with its variants, its weight and
// the bounds of its duration.
type wideKind struct {
	kind                     string
	variants                 []string
	weight                   int
	minDuration, maxDuration time.Duration
}

// wideTables are the kinds of faults that wide plans add. The faults of each
// table are drawn from a separate random stream, with a mean pause between the
// beginnings of two faults. Add new kinds in a new table, so that each seed
// still draws the same faults from the existing tables.
var wideTables = []struct {
	stream uint64
	pause  time.Duration
	kinds  []wideKind
}{
	{3, 500 * time.Millisecond, incarnationKinds},
	{4, time.Second, moveKinds},
	{6, time.Second, suddenKinds},
	{7, time.Second, answerKinds},
	{8, 4 * time.Second, poisonKinds},
	{9, time.Second, restartKinds},
	{10, 6 * time.Second, stormKinds},
	{11, 4 * time.Second, evacuationKinds},
	{12, 3 * time.Second, heldKinds},
	{13, 3 * time.Second, unevenKinds},
	{18, 20 * time.Second, stalledKinds},
	{19, 10 * time.Second, severedKinds},
	{takenStream, 30 * time.Second, takenKinds},
}

var incarnationKinds = []wideKind{
	// A worker crashes and returns as another incarnation at the same address.
	// In between, connects are refused, or get no answer ("mute"). With "late",
	// one more heartbeat of the previous incarnation arrives after a delay.
	{"reborn", []string{"plain", "late", "mute"}, 4, 50 * time.Millisecond, 2500 * time.Millisecond},
	// The store drops its history, so that a host that has fallen behind must
	// read the whole topic again.
	{"forget", []string{"all"}, 5, 0, 0},
	// All hosts end one after the other.
	{"turns", []string{"kill", "term"}, 1, 0, 2 * time.Second},
	// A worker that keeps running can't reach the store and can't be reached by
	// hosts. This lasts longer than its entry stays listed, but less than
	// a lease.
	{"apart", []string{"refuse", "mute", "both"}, 3, 5 * time.Second, 9 * time.Second},
	// The store is unavailable, and all entries have expired when it is
	// available again.
	{"lapse", []string{"busy", "hang"}, 1, 1500 * time.Millisecond, 4 * time.Second},
	// A worker leaves. Its entry expires without a drain notice ("unsaid"), or
	// the worker announces draining and is isolated from half of the announced
	// drain time on.
	{"parting", []string{"unsaid", "refuse", "mute"}, 1, 4 * time.Second, 8 * time.Second},
}

var moveKinds = []wideKind{
	// A worker crashes and returns as another incarnation at another address of
	// its machine.
	{"moved", []string{"plain", "late"}, 1, 50 * time.Millisecond, time.Second},
	// A worker that has announced draining is isolated from half of the
	// announced drain time on, while connections from hosts are still accepted.
	{"leaving", []string{"both"}, 1, 5 * time.Second, 8 * time.Second},
	// The operator writes the next version of the configuration, with another
	// random part of the queues.
	{"queues", []string{"change"}, 1, 0, 0},
}

var suddenKinds = []wideKind{
	// A worker is isolated from the moment at which it announces draining, so
	// that no stop order reaches it.
	{"sudden", []string{"both"}, 1, 5 * time.Second, 8 * time.Second},
}

var answerKinds = []wideKind{
	// A worker reads its list of ended runs shortly before its list of active
	// runs, so that a run may be in neither.
	{"torn", []string{"lists"}, 3, time.Second, 5 * time.Second},
	// A worker is isolated for longer than its lease. So it has stopped its
	// runs when it is reachable again.
	{"lapsed", []string{"refuse", "mute", "both"}, 1, 11 * time.Second, 14 * time.Second},
}

var poisonKinds = []wideKind{
	// A job is submitted of which each start crashes its worker.
	{"poison", []string{"job"}, 1, 0, 0},
}

var restartKinds = []wideKind{
	// A worker crashes and restarts under its ID: at once, with its connections
	// still open ("plain"); while its connections are cut ("cut"); or at once,
	// with a late heartbeat of the previous incarnation ("late"). In plans with
	// this kind all workers report the start times of their incarnations.
	{"again", []string{"plain", "cut", "late"}, 1, 50 * time.Millisecond, 2500 * time.Millisecond},
}

var stormKinds = []wideKind{
	// A tenth to a third of the workers crash at once while they are
	// unreachable. With "again", in plans in which workers report their start
	// times, they restart under the same IDs. Otherwise they return as other
	// incarnations with new IDs.
	{"storm", []string{"reborn", "again"}, 1, 50 * time.Millisecond, 2500 * time.Millisecond},
}

var heldKinds = []wideKind{
	// Start orders that reach a worker within holdTime get no answer. The worker
	// restarts under its ID after the duration, and its next incarnation carries
	// them out. The duration stays below the time after a cancel from which the
	// judge allows no starts. In plans with this kind all workers report the
	// start times of their incarnations.
	{"held", []string{"starts"}, 1, 3 * time.Second, 8 * time.Second},
}

var stalledKinds = []wideKind{
	// Start orders that reach any worker get no answer. At the end of the fault
	// the workers carry them out ("late"), or never do ("lost"). With enough
	// workers all waiting jobs have start orders by then, and no worker has begun
	// one. As for "held", late orders keep to the time after a cancel.
	{"stalled", []string{"late", "lost"}, 1, 6 * time.Second, 8 * time.Second},
}

var severedKinds = []wideKind{
	// Half of the hosts are cut off from the store at once, for longer than any
	// answer of theirs may be old. With "alone", all links between hosts are cut
	// too, so that they can't reach the store through other hosts.
	{"severed", []string{"alone", "both", "silence"}, 1, 4 * time.Second, 8 * time.Second},
}

// minStorm and maxStorm bound the share of the workers that crash in a storm,
// in percent.
const minStorm, maxStorm = 10, 33

// startSpread bounds how far a reported start time lies in the past. On a real
// machine the clock may be set back between two incarnations of a worker. So
// the later incarnation may report an earlier start here too.
const startSpread = 10 * time.Minute

// listGap is the time between the reads of a worker's two lists in a "torn"
// fault.
const listGap = time.Millisecond

// drawWide returns a wide plan: the plan of the seed, with more faults and
// longer work.
func drawWide(seed uint64, hosts, workers int, faultPhase time.Duration) plan {
	p := drawPlan(seed, hosts, workers, faultPhase)
	p.wide = true
	for i, table := range wideTables {
		r := rand.New(rand.NewPCG(seed, table.stream))
		if i == 0 {
			p.namesMachines = r.IntN(2) == 0
		}
		p.addFaults(r, table.kinds, table.pause)
	}
	slices.SortStableFunc(p.faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return p
}

// addFaults adds random faults of some kinds, with a mean pause between them.
func (p *plan) addFaults(r *rand.Rand, kinds []wideKind, pause time.Duration) {
	for at := warmUpTime; at < p.faultPhase; at += time.Duration(r.ExpFloat64() * float64(pause)) {
		f := drawWideFault(r, kinds)
		f.at, f.target = at, r.IntN(p.workers)
		p.faults = append(p.faults, f)
	}
}

// drawWideFault returns a fault whose kind is drawn by weight, with a random
// variant and duration.
func drawWideFault(r *rand.Rand, kinds []wideKind) fault {
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	n := r.IntN(sum)
	for _, k := range kinds {
		if n -= k.weight; n < 0 {
			duration := k.minDuration + time.Duration(r.Float64()*float64(k.maxDuration-k.minDuration))
			return fault{kind: k.kind, variant: pick(r, k.variants), duration: duration}
		}
	}
	return fault{}
}

// injectWideFault carries out a fault of a kind that only wide plans have. It
// reports false for other kinds.
func (s *site) injectWideFault(f fault) bool {
	switch f.kind {
	case "forget":
		s.store.DropHistory()
	case "queues":
		s.configure()
	case "poison":
		s.mu.Lock()
		s.pendingPoisons++
		s.mu.Unlock()
	case "speeds":
		s.misreportProgress(f)
	case "flood":
		s.flood(f)
	case "turns":
		s.stopHostsInTurn(f)
	case "storm":
		s.crashMany(f)
	case "stalled":
		s.stallStarts(f)
	case "severed":
		s.severHosts(f)
	case "evacuate":
		s.evacuate(f)
	case "lapse":
		s.during("store", func() { s.setStoreAway(f.variant, true) }, f.duration, func() { s.setStoreAway(f.variant, false) })
	case "taken":
		s.takeWorkersAway(f)
	case "reborn", "moved", "apart", "lapsed", "parting", "leaving", "sudden", "torn", "again", "held":
		w := s.workers[f.target%len(s.workers)]
		if incarnation, _ := w.current(); incarnation != nil {
			s.injectIncarnationFault(w, incarnation, f)
		}
	default:
		return false
	}
	return true
}

// crashMany crashes a random share of the workers at once. If the variant is
// "again" and workers report their start times, they restart under the same IDs.
// Otherwise other incarnations with new IDs replace them.
func (s *site) crashMany(f fault) {
	crash := fault{kind: f.variant, variant: "cut", duration: f.duration}
	if !s.reportStart {
		crash = fault{kind: "reborn", variant: "mute", duration: f.duration}
	}
	percent := minStorm + s.intN(maxStorm-minStorm+1)
	var wg sync.WaitGroup
	for i := range max(1, len(s.workers)*percent/100) {
		w := s.workers[(f.target+i)%len(s.workers)]
		if incarnation, _ := w.current(); incarnation != nil {
			wg.Go(func() { s.injectIncarnationFault(w, incarnation, crash) })
		}
	}
	wg.Wait()
}

// severHosts cuts half of the hosts off from the store.
func (s *site) severHosts(f fault) {
	var wg sync.WaitGroup
	cut := func(kind, variant string, target int) {
		wg.Go(func() { s.injectFault(fault{kind: kind, variant: variant, target: target, duration: f.duration}) })
	}
	path := f.variant
	if f.variant == "alone" {
		path = "both"
		for i := range s.hosts {
			cut("link", "both", i)
		}
	}
	for i := range (len(s.hosts) + 1) / 2 {
		cut("path", path, f.target+i)
	}
	wg.Wait()
}

// stopHostsInTurn ends all hosts one after the other, so that the owner changes
// while outdated entries are still listed.
func (s *site) stopHostsInTurn(f fault) {
	var wg sync.WaitGroup
	for i := range s.hosts {
		wg.Go(func() { s.injectFault(fault{kind: f.variant, variant: "restart", target: i, duration: f.duration}) })
		time.Sleep(hostStopInterval)
	}
	wg.Wait()
}

// injectIncarnationFault carries out a fault of a worker's incarnation.
func (s *site) injectIncarnationFault(w *worker, incarnation *standin.Worker, f fault) {
	switch f.kind {
	case "reborn", "moved":
		s.during("workers", func() { w.replaceIncarnation(incarnation, f) }, 0, func() {})
	case "again":
		s.during("workers", func() { w.restartUnderSameID(incarnation, f) }, 0, func() {})
	case "held":
		s.during("workers", func() { w.restartBeforeHeldStarts(incarnation, f) }, 0, func() {})
	case "torn":
		s.during("workers", func() { incarnation.SetSnapshotGap(listGap) }, f.duration, func() { incarnation.SetSnapshotGap(0) })
	case "apart", "lapsed":
		s.during("workers", func() { w.setIsolated(incarnation, f.variant, true) }, f.duration, func() { w.setIsolated(incarnation, f.variant, false) })
	case "parting", "leaving", "sudden":
		w.leaveService(incarnation, f)
	}
}

// replaceIncarnation ends an incarnation, and starts the next one after the
// duration of the fault. The next one listens at the same address, or at
// another one if the fault's kind is "moved". If the incarnation has already
// ended, replaceIncarnation does nothing.
func (w *worker) replaceIncarnation(incarnation *standin.Worker, f fault) {
	w.mu.Lock()
	current := !w.ended && w.incarnation == incarnation
	w.ended = w.ended || current
	proxy, closeListener := w.proxy, w.closeListener
	w.mu.Unlock()
	if !current {
		return
	}
	incarnation.Crash()
	closeListener()
	block := proxy.RefuseConnects
	if f.variant == "mute" {
		block = proxy.IgnoreConnects
	}
	w.check(block())
	w.site.entries.endHeartbeats(incarnation, f.variant == "late")
	if f.kind == "moved" {
		w.check(proxy.Close())
		w.mu.Lock()
		w.proxy = nil
		w.mu.Unlock()
	}
	time.Sleep(f.duration)
	w.start()
}

// restartUnderSameID ends an incarnation, and starts the next one under the same
// worker ID. If the incarnation has already ended, it does nothing.
func (w *worker) restartUnderSameID(incarnation *standin.Worker, f fault) {
	current, proxy := w.current()
	if current != incarnation {
		return
	}
	if f.variant == "cut" {
		proxy.Cut(directions["both"])
		time.Sleep(f.duration)
		defer proxy.Heal()
	}
	incarnation.Restart(w.site.drawStartTime())
	w.site.entries.restart(incarnation, f.variant == "late")
}

// drawStartTime returns the start time that an incarnation reports, or 0 in
// plans in which workers report none.
func (s *site) drawStartTime() int64 {
	if !s.reportStart {
		return 0
	}
	return time.Now().Add(-time.Duration(s.intN(int(startSpread)))).UnixMilli()
}

// crashIncarnation crashes an incarnation crashTime after it has started a task
// that crashes workers.
func (s *site) crashIncarnation(id string) {
	time.Sleep(crashTime)
	away := minAway + time.Duration(s.intN(int(maxAway-minAway)))
	for _, w := range s.workers {
		if incarnation, _ := w.current(); incarnation != nil && incarnation.IncarnationID() == id {
			s.injectIncarnationFault(w, incarnation, fault{kind: "reborn", duration: away})
		}
	}
}

// takePoison reports whether the next job must be one that crashes workers. If
// so, it decrements pendingPoisons.
func (s *site) takePoison() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingPoisons == 0 {
		return false
	}
	s.pendingPoisons--
	return true
}

// setIsolated cuts an incarnation off from the store and the hosts, or connects
// it again. Depending on the variant, connects from hosts are refused, get no
// answer, or succeed on connections that carry nothing.
func (w *worker) setIsolated(incarnation *standin.Worker, variant string, begins bool) {
	w.mu.Lock()
	current := !w.ended && w.incarnation == incarnation
	proxy := w.proxy
	w.mu.Unlock()
	if !current {
		return // the next incarnation is reachable
	}
	w.site.entries.change(incarnation, func(e *entry) { e.isolated = begins })
	switch {
	case !begins:
		proxy.Heal()
		w.check(proxy.AcceptConnects())
	case variant == "refuse":
		w.check(proxy.RefuseConnects())
	case variant == "mute":
		proxy.Cut(directions["both"])
		w.check(proxy.IgnoreConnects())
	default:
		proxy.Cut(directions["both"])
	}
}

// leaveService has a worker leave. The worker keeps running for a while after
// its entry has expired, or after the drain time that it announced. During this
// time, it may be isolated from the store and the hosts.
func (w *worker) leaveService(incarnation *standin.Worker, f fault) {
	s := w.site
	rejoin := func() { w.setIsolated(incarnation, f.variant, false) }
	switch {
	case f.variant == "unsaid":
		s.entries.change(incarnation, func(e *entry) { e.isolated = true })
		time.Sleep(missedHeartbeats*heartbeatInterval + f.duration)
	case f.kind == "sudden":
		s.during("workers", func() { w.isolateAndDrain(incarnation, f.variant) }, f.duration, rejoin)
		time.Sleep(drainTime)
	default:
		w.announceDraining(incarnation)
		time.Sleep(drainTime / 2)
		s.during("workers", func() { w.setIsolated(incarnation, f.variant, true) }, f.duration, rejoin)
		time.Sleep(drainTime)
	}
	w.restartOnce(incarnation, 0)
}

// isolateAndDrain cuts a worker off from the hosts, lets it announce that it
// drains, and then cuts it off from the store too.
func (w *worker) isolateAndDrain(incarnation *standin.Worker, variant string) {
	if current, proxy := w.current(); current == incarnation {
		proxy.Cut(directions["both"])
	}
	w.announceDraining(incarnation)
	time.Sleep(2 * entriesInterval)
	w.setIsolated(incarnation, variant, true)
}

// check fails the test if err isn't nil.
func (w *worker) check(err error) {
	if err != nil {
		w.site.t.Error(err)
	}
}

// addQueues adds queues and services to a plan that changes queues.
func (p *plan) addQueues() {
	if !slices.ContainsFunc(p.faults, func(f fault) bool { return f.kind == "queues" }) {
		return
	}
	r := rand.New(rand.NewPCG(p.seed, queueStream))
	for range r.IntN(maxServices) {
		p.services = append(p.services, drawName(r))
	}
	for range minQueues + r.IntN(maxQueues-minQueues) {
		name := "r-" + drawName(r)
		p.queues = append(p.queues, standin.Queue{Name: name, Prefix: "/" + name + "/", Service: pick(r, p.services)})
	}
}

// drawName returns a random name.
func drawName(r *rand.Rand) string { return strconv.FormatUint(r.Uint64N(math.MaxInt32), 36) }

// prepareWide prepares a site for a wide plan.
func (s *site) prepareWide(p plan) {
	s.reportStart = p.has("again") || p.has("held")
	s.prepareUneven(p)
	s.namesMachines, s.entries = p.namesMachines, &entryList{site: s, byIncarnation: map[*standin.Worker]*entry{}}
	end := make(chan struct{})
	go s.entries.run(end)
	s.t.Cleanup(func() { close(end) })
}

// machine returns the machine that the entries of a worker name.
func (w *worker) machine() string {
	if !w.site.namesMachines {
		return ""
	}
	return w.machineName()
}

// newWorkerName returns a unique name for an incarnation of a worker. In wide
// plans the order of the names doesn't show which incarnation is newer.
func (s *site) newWorkerName(number int) string {
	if s.entries == nil {
		return s.uniqueName(fmt.Sprintf("worker-%d", number))
	}
	return s.uniqueName(fmt.Sprintf("i-%08x", s.intN(math.MaxInt32)))
}
