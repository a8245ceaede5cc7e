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

// A wide plan strikes lives of workers and their entries too. What it adds is drawn from streams of its
// own, so that plans that aren't wide stay as they were.

const (
	// queueStream is the stream of a seed from which the names of queues are drawn.
	queueStream = 5
	// mostServices bounds the services besides the first one, leastQueues and mostQueues the queues.
	maxServices, minQueues, maxQueues = 3, 3, 30
	// turnPause is the pause between the ends of two hosts, one after the other.
	hostStopInterval = 700 * time.Millisecond
)

// wideKind is a kind of fault that wide plans add, with its variants, weight and bounds of its length.
type wideKind struct {
	kind                     string
	variants                 []string
	weight                   int
	minDuration, maxDuration time.Duration
}

// wideTables are the kinds of faults that wide plans add. Each table is drawn from a stream of its own with a
// mean pause between the beginnings of two faults, so that kinds which are added in another table leave what
// seeds drew before as it was.
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
}

var incarnationKinds = []wideKind{
	// A worker crashes and is back as another life at the same address, for which it is away.
	{"reborn", []string{"plain", "late", "mute"}, 4, 50 * time.Millisecond, 2500 * time.Millisecond},
	// The store drops its history, so that who is behind reads all of a topic again.
	{"forget", []string{"all"}, 5, 0, 0},
	// All hosts end one after the other.
	{"turns", []string{"kill", "term"}, 1, 0, 2 * time.Second},
	// A worker that runs on reaches neither the store nor is reached by hosts, for longer than its entry
	// stands and shorter than a lease.
	{"apart", []string{"refuse", "mute", "both"}, 3, 5 * time.Second, 9 * time.Second},
	// The store is away, and all entries have lapsed when it is back.
	{"lapse", []string{"busy", "hang"}, 1, 1500 * time.Millisecond, 4 * time.Second},
	// A worker that leaves: its entry goes without a word, or it is apart for the last part of its stay.
	{"parting", []string{"unsaid", "refuse", "mute"}, 1, 4 * time.Second, 8 * time.Second},
}

var moveKinds = []wideKind{
	// A worker crashes and is back as another life at another address of its machine.
	{"moved", []string{"plain", "late"}, 1, 50 * time.Millisecond, time.Second},
	// A worker that has said that it leaves is apart for the last part of its stay, and hosts' connects are
	// taken.
	{"leaving", []string{"both"}, 1, 5 * time.Second, 8 * time.Second},
	// The next version of the configuration; others of the queues are in it.
	{"queues", []string{"change"}, 1, 0, 0},
}

var suddenKinds = []wideKind{
	// A worker is apart from the moment that it has said that it leaves, so that no order to stop reaches it.
	{"sudden", []string{"both"}, 1, 5 * time.Second, 8 * time.Second},
}

var answerKinds = []wideKind{
	// A worker takes its list of ends a moment before that of what runs, so that a run may be in neither.
	{"torn", []string{"lists"}, 3, time.Second, 5 * time.Second},
	// A worker is apart until after its lease, and runs nothing any more when it is back.
	{"lapsed", []string{"refuse", "mute", "both"}, 1, 11 * time.Second, 14 * time.Second},
}

var poisonKinds = []wideKind{
	// A job is handed in of which each start crashes its worker.
	{"poison", []string{"job"}, 1, 0, 0},
}

var restartKinds = []wideKind{
	// A worker crashes and begins again under its id: at once, with connections that stay open; behind a cut; or at once, with a heartbeat of
	// the life before that lands late. In plans that have this kind all workers tell when their lives began.
	{"again", []string{"plain", "cut", "late"}, 1, 50 * time.Millisecond, 2500 * time.Millisecond},
}

var stormKinds = []wideKind{
	// A tenth to a third of the workers crash at once behind a cut, and are back as other lives, or under their ids where workers tell their starts.
	{"storm", []string{"reborn", "again"}, 1, 50 * time.Millisecond, 2500 * time.Millisecond},
}

// leastStorm and mostStorm bound the share of the workers that crash in a storm, in hundredths.
const minStorm, maxStorm = 10, 33

// startSpread is how far apart the times of day may be by which two lives of a worker tell their starts: it may be set back between them.
const startSpread = 10 * time.Minute

// tornBy is how far apart a worker takes its two lists.
const listGap = time.Millisecond

// drawWide draws a wide plan: the plan of the seed with more faults and longer work.
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

// add draws faults of some kinds with a mean pause between them.
func (p *plan) addFaults(r *rand.Rand, kinds []wideKind, pause time.Duration) {
	for at := warmUpTime; at < p.faultPhase; at += time.Duration(r.ExpFloat64() * float64(pause)) {
		f := drawWideFault(r, kinds)
		f.at, f.target = at, r.IntN(p.workers)
		p.faults = append(p.faults, f)
	}
}

// drawWideFault draws one of some kinds of faults by weight, its variant and length.
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

// strikeWide carries out a fault that only wide plans have. It reports false for others.
func (s *site) injectWideFault(f fault) bool {
	switch f.kind {
	case "forget":
		s.store.Forget()
	case "queues":
		s.configure()
	case "poison":
		s.mu.Lock()
		s.pendingPoisons++
		s.mu.Unlock()
	case "turns":
		s.stopHostsInTurn(f)
	case "storm":
		s.crashMany(f)
	case "evacuate":
		s.evacuate(f)
	case "lapse":
		s.during("store", func() { s.store.SetFault(standin.Fault(f.variant)); s.entries.setStoreAway(true) }, f.duration, func() {
			s.store.SetFault(standin.FaultNone)
			s.entries.setStoreAway(false)
		})
	case "reborn", "moved", "apart", "lapsed", "parting", "leaving", "sudden", "torn", "again":
		w := s.workers[f.target%len(s.workers)]
		if incarnation, _ := w.current(); incarnation != nil {
			s.injectIncarnationFault(w, incarnation, f)
		}
	default:
		return false
	}
	return true
}

// storm crashes some of the workers at once.
func (s *site) crashMany(f fault) {
	one := fault{kind: f.variant, variant: "cut", duration: f.duration}
	if !s.reportStart {
		one = fault{kind: "reborn", variant: "mute", duration: f.duration}
	}
	share := minStorm + s.intN(maxStorm-minStorm+1)
	var all sync.WaitGroup
	for i := range max(1, len(s.workers)*share/100) {
		w := s.workers[(f.target+i)%len(s.workers)]
		if incarnation, _ := w.current(); incarnation != nil {
			all.Go(func() { s.injectIncarnationFault(w, incarnation, one) })
		}
	}
	all.Wait()
}

// turns ends all hosts one after the other, so that the owner changes while old entries stand.
func (s *site) stopHostsInTurn(f fault) {
	var all sync.WaitGroup
	for i := range s.hosts {
		all.Go(func() { s.injectFault(fault{kind: f.variant, variant: "restart", target: i, duration: f.duration}) })
		time.Sleep(hostStopInterval)
	}
	all.Wait()
}

// strikeLife carries out a fault of a worker's life.
func (s *site) injectIncarnationFault(w *worker, incarnation *standin.Worker, f fault) {
	switch f.kind {
	case "reborn", "moved":
		s.during("workers", func() { w.replaceIncarnation(incarnation, f) }, 0, func() {})
	case "again":
		s.during("workers", func() { w.restartUnderSameID(incarnation, f) }, 0, func() {})
	case "torn":
		s.during("workers", func() { incarnation.SetTorn(listGap) }, f.duration, func() { incarnation.SetTorn(0) })
	case "apart", "lapsed":
		s.during("workers", func() { w.setIsolated(incarnation, f.variant, true) }, f.duration, func() { w.setIsolated(incarnation, f.variant, false) })
	case "parting", "leaving", "sudden":
		w.leaveService(incarnation, f)
	}
}

// reborn ends a life unless that was done before, and begins another one, at the same address unless the
// worker moves.
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
	block := proxy.Refuse
	if f.variant == "mute" {
		block = proxy.Mute
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

// again ends a life unless that was done before, and lets the worker begin another one under its id.
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
	incarnation.BeginAgain(w.site.drawStartTime())
	w.site.entries.restart(incarnation, f.variant == "late")
}

// lifeStart draws what a life tells of its start; 0 in plans in which workers tell nothing.
func (s *site) drawStartTime() int64 {
	if !s.reportStart {
		return 0
	}
	return time.Now().Add(-time.Duration(s.intN(int(startSpread)))).UnixMilli()
}

// crash ends a life that has started a task which crashes workers, a moment after that.
func (s *site) crashIncarnation(name string) {
	time.Sleep(crashTime)
	away := minAway + time.Duration(s.intN(int(maxAway-minAway)))
	for _, w := range s.workers {
		if incarnation, _ := w.current(); incarnation != nil && incarnation.LifeName() == name {
			s.injectIncarnationFault(w, incarnation, fault{kind: "reborn", duration: away})
		}
	}
}

// poison reports whether the next job is to crash workers.
func (s *site) takePoison() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingPoisons == 0 {
		return false
	}
	s.pendingPoisons--
	return true
}

// apart cuts a life from the store and from the hosts, or joins it again. Hosts that connect are refused, get
// no answer, or connect to nobody.
func (w *worker) setIsolated(incarnation *standin.Worker, variant string, begins bool) {
	w.mu.Lock()
	current := !w.ended && w.incarnation == incarnation
	proxy := w.proxy
	w.mu.Unlock()
	if !current {
		return // another life came, reached by all
	}
	w.site.entries.change(incarnation, func(e *entry) { e.isolated = begins })
	switch {
	case !begins:
		proxy.Heal()
		w.check(proxy.Admit())
	case variant == "refuse":
		w.check(proxy.Refuse())
	case variant == "mute":
		proxy.Cut(directions["both"])
		w.check(proxy.Mute())
	default:
		proxy.Cut(directions["both"])
	}
}

// part lets a worker leave. It serves on after its entry has gone, or after the time for which it said that
// it stays, apart from the hosts meanwhile or not.
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

// cutOff lets a worker say that it leaves while hosts don't reach it any more, and then nothing more.
func (w *worker) isolateAndDrain(incarnation *standin.Worker, variant string) {
	if current, proxy := w.current(); current == incarnation {
		proxy.Cut(directions["both"])
	}
	w.announceDraining(incarnation)
	time.Sleep(2 * entriesInterval)
	w.setIsolated(incarnation, variant, true)
}

// check fails the test at an error.
func (w *worker) check(err error) {
	if err != nil {
		w.site.t.Error(err)
	}
}

// branch gives a plan that changes queues several of them and several services.
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

// nameOf draws a name.
func drawName(r *rand.Rand) string { return strconv.FormatUint(r.Uint64N(math.MaxInt32), 36) }

// widen makes a site ready for a wide plan.
func (s *site) prepareWide(p plan) {
	s.reportStart = slices.ContainsFunc(p.faults, func(f fault) bool { return f.kind == "again" })
	s.namesMachines, s.entries = p.namesMachines, &entryList{site: s, byIncarnation: map[*standin.Worker]*entry{}}
	end := make(chan struct{})
	go s.entries.run(end)
	s.t.Cleanup(func() { close(end) })
}

// machine returns what entries of a worker name as its machine.
func (w *worker) machine() string {
	if !w.site.namesMachines {
		return ""
	}
	return fmt.Sprintf("machine-%d", w.number)
}

// workerLife returns a name for a life of a worker that no other has. The order of those of wide plans says
// nothing of their age.
func (s *site) newWorkerName(number int) string {
	if s.entries == nil {
		return s.uniqueName(fmt.Sprintf("worker-%d", number))
	}
	return s.uniqueName(fmt.Sprintf("i-%08x", s.intN(math.MaxInt32)))
}
