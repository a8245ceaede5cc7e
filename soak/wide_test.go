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
	mostServices, leastQueues, mostQueues = 3, 3, 30
	// turnPause is the pause between the ends of two hosts, one after the other.
	turnPause = 700 * time.Millisecond
)

// wideKind is a kind of fault that wide plans add, with its variants, weight and bounds of its length.
type wideKind struct {
	what        string
	hows        []string
	weight      int
	least, most time.Duration
}

// wideTables are the kinds of faults that wide plans add. Each table is drawn from a stream of its own with a
// mean pause between the beginnings of two faults, so that kinds which are added in another table leave what
// seeds drew before as it was.
var wideTables = []struct {
	stream uint64
	pause  time.Duration
	kinds  []wideKind
}{
	{3, 500 * time.Millisecond, livesKinds},
	{4, time.Second, movesKinds},
	{6, time.Second, leavesKinds},
	{7, time.Second, answersKinds},
	{8, 4 * time.Second, poisonKinds},
	{9, time.Second, againKinds},
	{10, 6 * time.Second, stormKinds},
	{11, 4 * time.Second, evacuateKinds},
}

var livesKinds = []wideKind{
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

var movesKinds = []wideKind{
	// A worker crashes and is back as another life at another address of its machine.
	{"moved", []string{"plain", "late"}, 1, 50 * time.Millisecond, time.Second},
	// A worker that has said that it leaves is apart for the last part of its stay, and hosts' connects are
	// taken.
	{"leaving", []string{"both"}, 1, 5 * time.Second, 8 * time.Second},
	// The next version of the configuration; others of the queues are in it.
	{"queues", []string{"change"}, 1, 0, 0},
}

var leavesKinds = []wideKind{
	// A worker is apart from the moment that it has said that it leaves, so that no order to stop reaches it.
	{"sudden", []string{"both"}, 1, 5 * time.Second, 8 * time.Second},
}

var answersKinds = []wideKind{
	// A worker takes its list of ends a moment before that of what runs, so that a run may be in neither.
	{"torn", []string{"lists"}, 3, time.Second, 5 * time.Second},
	// A worker is apart until after its lease, and runs nothing any more when it is back.
	{"lapsed", []string{"refuse", "mute", "both"}, 1, 11 * time.Second, 14 * time.Second},
}

var poisonKinds = []wideKind{
	// A job is handed in of which each start crashes its worker.
	{"poison", []string{"job"}, 1, 0, 0},
}

var againKinds = []wideKind{
	// A worker crashes and begins again under its id: at once, with connections that stay open; behind a cut; or at once, with a heartbeat of
	// the life before that lands late. In plans that have this kind all workers tell when their lives began.
	{"again", []string{"plain", "cut", "late"}, 1, 50 * time.Millisecond, 2500 * time.Millisecond},
}

var stormKinds = []wideKind{
	// A tenth to a third of the workers crash at once behind a cut, and are back as other lives, or under their ids where workers tell their starts.
	{"storm", []string{"reborn", "again"}, 1, 50 * time.Millisecond, 2500 * time.Millisecond},
}

// leastStorm and mostStorm bound the share of the workers that crash in a storm, in hundredths.
const leastStorm, mostStorm = 10, 33

// startSpread is how far apart the times of day may be by which two lives of a worker tell their starts: it may be set back between them.
const startSpread = 10 * time.Minute

// tornBy is how far apart a worker takes its two lists.
const tornBy = time.Millisecond

// drawWide draws a wide plan: the plan of the seed with more faults and longer work.
func drawWide(seed uint64, hosts, workers int, lasts time.Duration) plan {
	p := drawPlan(seed, hosts, workers, lasts)
	p.wide = true
	for i, table := range wideTables {
		r := rand.New(rand.NewPCG(seed, table.stream))
		if i == 0 {
			p.machines = r.IntN(2) == 0
		}
		p.add(r, table.kinds, table.pause)
	}
	slices.SortStableFunc(p.faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return p
}

// add draws faults of some kinds with a mean pause between them.
func (p *plan) add(r *rand.Rand, kinds []wideKind, pause time.Duration) {
	for at := calmBefore; at < p.lasts; at += time.Duration(r.ExpFloat64() * float64(pause)) {
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
			lasts := k.least + time.Duration(r.Float64()*float64(k.most-k.least))
			return fault{what: k.what, how: pick(r, k.hows), lasts: lasts}
		}
	}
	return fault{}
}

// strikeWide carries out a fault that only wide plans have. It reports false for others.
func (s *site) strikeWide(f fault) bool {
	switch f.what {
	case "forget":
		s.store.Forget()
	case "queues":
		s.configure()
	case "poison":
		s.mu.Lock()
		s.poisons++
		s.mu.Unlock()
	case "turns":
		s.turns(f)
	case "storm":
		s.storm(f)
	case "evacuate":
		s.evacuate(f)
	case "lapse":
		s.during("store", func() { s.store.SetFault(standin.Fault(f.how)); s.entries.lapse(true) }, f.lasts, func() {
			s.store.SetFault(standin.FaultNone)
			s.entries.lapse(false)
		})
	case "reborn", "moved", "apart", "lapsed", "parting", "leaving", "sudden", "torn", "again":
		w := s.workers[f.target%len(s.workers)]
		if life, _ := w.present(); life != nil {
			s.strikeLife(w, life, f)
		}
	default:
		return false
	}
	return true
}

// storm crashes some of the workers at once.
func (s *site) storm(f fault) {
	one := fault{what: f.how, how: "cut", lasts: f.lasts}
	if !s.tellStart {
		one = fault{what: "reborn", how: "mute", lasts: f.lasts}
	}
	share := leastStorm + s.chance(mostStorm-leastStorm+1)
	var all sync.WaitGroup
	for i := range max(1, len(s.workers)*share/100) {
		w := s.workers[(f.target+i)%len(s.workers)]
		if life, _ := w.present(); life != nil {
			all.Go(func() { s.strikeLife(w, life, one) })
		}
	}
	all.Wait()
}

// turns ends all hosts one after the other, so that the owner changes while old entries stand.
func (s *site) turns(f fault) {
	var all sync.WaitGroup
	for i := range s.hosts {
		all.Go(func() { s.strike(fault{what: f.how, how: "restart", target: i, lasts: f.lasts}) })
		time.Sleep(turnPause)
	}
	all.Wait()
}

// strikeLife carries out a fault of a worker's life.
func (s *site) strikeLife(w *worker, life *standin.Worker, f fault) {
	switch f.what {
	case "reborn", "moved":
		s.during("workers", func() { w.reborn(life, f) }, 0, func() {})
	case "again":
		s.during("workers", func() { w.again(life, f) }, 0, func() {})
	case "torn":
		s.during("workers", func() { life.SetTorn(tornBy) }, f.lasts, func() { life.SetTorn(0) })
	case "apart", "lapsed":
		s.during("workers", func() { w.apart(life, f.how, true) }, f.lasts, func() { w.apart(life, f.how, false) })
	case "parting", "leaving", "sudden":
		w.part(life, f)
	}
}

// reborn ends a life unless that was done before, and begins another one, at the same address unless the
// worker moves.
func (w *worker) reborn(life *standin.Worker, f fault) {
	w.mu.Lock()
	mine := !w.gone && w.life == life
	w.gone = w.gone || mine
	front, stop := w.front, w.stop
	w.mu.Unlock()
	if !mine {
		return
	}
	life.Crash()
	stop()
	shut := front.Refuse
	if f.how == "mute" {
		shut = front.Mute
	}
	w.check(shut())
	w.site.entries.end(life, f.how == "late")
	if f.what == "moved" {
		w.check(front.Close())
		w.mu.Lock()
		w.front = nil
		w.mu.Unlock()
	}
	time.Sleep(f.lasts)
	w.start()
}

// again ends a life unless that was done before, and lets the worker begin another one under its id.
func (w *worker) again(life *standin.Worker, f fault) {
	present, front := w.present()
	if present != life {
		return
	}
	if f.how == "cut" {
		front.Cut(directions["both"])
		time.Sleep(f.lasts)
		defer front.Heal()
	}
	life.BeginAgain(w.site.lifeStart())
	w.site.entries.again(life, f.how == "late")
}

// lifeStart draws what a life tells of its start; 0 in plans in which workers tell nothing.
func (s *site) lifeStart() int64 {
	if !s.tellStart {
		return 0
	}
	return time.Now().Add(-time.Duration(s.chance(int(startSpread)))).UnixMilli()
}

// crash ends a life that has started a task which crashes workers, a moment after that.
func (s *site) crash(name string) {
	time.Sleep(crashTime)
	away := leastAway + time.Duration(s.chance(int(mostAway-leastAway)))
	for _, w := range s.workers {
		if life, _ := w.present(); life != nil && life.LifeName() == name {
			s.strikeLife(w, life, fault{what: "reborn", lasts: away})
		}
	}
}

// poison reports whether the next job is to crash workers.
func (s *site) poison() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.poisons == 0 {
		return false
	}
	s.poisons--
	return true
}

// apart cuts a life from the store and from the hosts, or joins it again. Hosts that connect are refused, get
// no answer, or connect to nobody.
func (w *worker) apart(life *standin.Worker, how string, begins bool) {
	w.mu.Lock()
	mine := !w.gone && w.life == life
	front := w.front
	w.mu.Unlock()
	if !mine {
		return // another life came, reached by all
	}
	w.site.entries.change(life, func(e *entry) { e.cut = begins })
	switch {
	case !begins:
		front.Heal()
		w.check(front.Admit())
	case how == "refuse":
		w.check(front.Refuse())
	case how == "mute":
		front.Cut(directions["both"])
		w.check(front.Mute())
	default:
		front.Cut(directions["both"])
	}
}

// part lets a worker leave. It serves on after its entry has gone, or after the time for which it said that
// it stays, apart from the hosts meanwhile or not.
func (w *worker) part(life *standin.Worker, f fault) {
	s := w.site
	join := func() { w.apart(life, f.how, false) }
	switch {
	case f.how == "unsaid":
		s.entries.change(life, func(e *entry) { e.cut = true })
		time.Sleep(silentBeats*heartbeat + f.lasts)
	case f.what == "sudden":
		s.during("workers", func() { w.cutOff(life, f.how) }, f.lasts, join)
		time.Sleep(drainTime)
	default:
		w.sayDraining(life)
		time.Sleep(drainTime / 2)
		s.during("workers", func() { w.apart(life, f.how, true) }, f.lasts, join)
		time.Sleep(drainTime)
	}
	w.replace(life, 0)
}

// cutOff lets a worker say that it leaves while hosts don't reach it any more, and then nothing more.
func (w *worker) cutOff(life *standin.Worker, how string) {
	if present, front := w.present(); present == life {
		front.Cut(directions["both"])
	}
	w.sayDraining(life)
	time.Sleep(2 * entriesTick)
	w.apart(life, how, true)
}

// check fails the test at an error.
func (w *worker) check(err error) {
	if err != nil {
		w.site.t.Error(err)
	}
}

// branch gives a plan that changes queues several of them and several services.
func (p *plan) branch() {
	if !slices.ContainsFunc(p.faults, func(f fault) bool { return f.what == "queues" }) {
		return
	}
	r := rand.New(rand.NewPCG(p.seed, queueStream))
	for range r.IntN(mostServices) {
		p.services = append(p.services, nameOf(r))
	}
	for range leastQueues + r.IntN(mostQueues-leastQueues) {
		name := "r-" + nameOf(r)
		p.queues = append(p.queues, standin.Queue{Name: name, Prefix: "/" + name + "/", Service: pick(r, p.services)})
	}
}

// nameOf draws a name.
func nameOf(r *rand.Rand) string { return strconv.FormatUint(r.Uint64N(math.MaxInt32), 36) }

// widen makes a site ready for a wide plan.
func (s *site) widen(p plan) {
	s.tellStart = slices.ContainsFunc(p.faults, func(f fault) bool { return f.what == "again" })
	s.machines, s.entries = p.machines, &entries{site: s, of: map[*standin.Worker]*entry{}}
	end := make(chan struct{})
	go s.entries.run(end)
	s.t.Cleanup(func() { close(end) })
}

// machine returns what entries of a worker name as its machine.
func (w *worker) machine() string {
	if !w.site.machines {
		return ""
	}
	return fmt.Sprintf("machine-%d", w.number)
}

// workerLife returns a name for a life of a worker that no other has. The order of those of wide plans says
// nothing of their age.
func (s *site) workerLife(number int) string {
	if s.entries == nil {
		return s.life(fmt.Sprintf("worker-%d", number))
	}
	return s.life(fmt.Sprintf("i-%08x", s.chance(math.MaxInt32)))
}
