package proof_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/plan"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/route"
)

var (
	longEvents = flag.Int("events", 60_000, "number of events of the long run")
	longSeed   = flag.Uint64("seed", 1, "random seed of the long run")
)

// TestLong injects failures at random, several of which may overlap, and checks
// the invariants. The same seed gives the same run:
//
//	go test ./core/proof -run Long -args -events 1000000 -seed 7
func TestLong(t *testing.T) {
	t.Logf("seed %d, %d events", *longSeed, *longEvents)
	c := newChaos(*longSeed)
	for c.events < *longEvents && len(c.violations) == 0 {
		c.runRandomAction()
		c.advance(time.Duration(c.rng.Int64N(int64(800 * time.Millisecond))))
	}
	if len(c.violations) == 0 {
		c.recoverAndCheck()
	}
	t.Logf("%d events, %s of virtual time; %s", c.events, c.now.Sub(clockStart).Round(time.Second), c.summary())
	if len(c.violations) > 0 {
		t.Fatalf("seed %d, event %d:\n%s", *longSeed, c.events, strings.Join(c.violations, "\n"))
	}
}

const (
	chaosHosts    = 5
	chaosRacks    = 4
	chaosBackends = 8
	// recentKeys is the number of most recently used keys from which the key of
	// a repeated request is chosen.
	recentKeys = 5
)

// chaos is a world with random load and random failures.
type chaos struct {
	*world
	// nameCount is the number of generated names.
	nameCount int
	// usedKeys lists the keys of all requests so far.
	usedKeys []string
	// actionCounts counts the actions that were run, by name.
	actionCounts map[string]int
}

// newChaos starts the hosts and the site of a long run. Some messages between
// hosts and workers are lost, duplicated or late from the beginning.
func newChaos(seed uint64) *chaos {
	s := &script{world: newWorld(seed), plans: map[string]plan.Plan{}}
	if err := cmdHosts(s, parseWords([]string{fmt.Sprint(chaosHosts)})); err != nil {
		panic(err)
	}
	site := parseWords([]string{
		fmt.Sprintf("racks=%d", chaosRacks), fmt.Sprintf("backends=%d", chaosBackends),
		"guarantees=big:frost:64:1,mid:frost:16:2,small:ghent:8:4",
	})
	if err := cmdSite(s, site); err != nil {
		panic(err)
	}
	s.netLoss, s.netDup = 0.01, 0.01
	s.listLag = 30 * time.Second
	return &chaos{world: s.world, actionCounts: map[string]int{}}
}

// action is an action that the long run chooses with a probability proportional
// to its weight.
type action struct {
	name   string
	weight int
	do     func(*chaos)
}

var actions = []action{
	{"submit", 30, (*chaos).submit},
	{"cancel", 4, (*chaos).cancel},
	{"wave", 1, (*chaos).cancelAll},
	{"request", 60, (*chaos).requests},
	{"configure", 4, (*chaos).configure},
	{"kill-host", 2, (*chaos).killHost},
	{"pause-host", 2, (*chaos).pauseHost},
	{"stop-host", 1, (*chaos).stopHost},
	{"cut-host", 3, (*chaos).cutHost},
	{"log", 2, (*chaos).breakLog},
	{"worker", 3, (*chaos).breakWorker},
	{"rack", 1, (*chaos).loseRack},
	{"backend", 5, (*chaos).breakBackend},
	{"damage", 1, func(c *chaos) { c.appendToLog([]byte("damaged")) }},
}

// runRandomAction runs one action, chosen at random by weight.
func (c *chaos) runRandomAction() {
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := c.rng.IntN(total)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			c.actionCounts[a.name]++
			a.do(c)
			return
		}
	}
}

// newName returns a name that was not used before.
func (c *chaos) newName(prefix string) string {
	c.nameCount++
	return fmt.Sprintf("%s%d", prefix, c.nameCount)
}

// randomHost returns a random host, which may be down.
func (c *chaos) randomHost() *machine {
	names := config.SortedKeys(c.machines)
	return c.machines[names[c.rng.IntN(len(names))]]
}

// scheduleWithin calls do after a random delay of less than limit.
func (c *chaos) scheduleWithin(limit time.Duration, do func()) {
	c.schedule(time.Duration(c.rng.Int64N(int64(limit))), do)
}

// submit submits a random job at a random host.
func (c *chaos) submit() {
	m := c.randomHost()
	if !m.up {
		return
	}
	sizes := []int{1, 2, 4, 8, 8, 16, 16, 32, 64}
	commands := []string{"run 2s", "run 10s", "run 30s", "run 2m", "crash 3s"}
	name := c.newName("j")
	c.propose(m, name, record.Entry{Submit: &record.Submit{Job: record.Job{
		ID: id.Job(name), Customer: []id.Customer{"frost", "ghent"}[c.rng.IntN(2)],
		Accelerators: sizes[c.rng.IntN(len(sizes))], AtMostOnce: c.rng.IntN(3) == 0, Urgent: c.rng.IntN(5) == 0,
		Declared: time.Duration(1+c.rng.IntN(100)) * time.Second, Command: commands[c.rng.IntN(len(commands))],
		Submitted: c.now,
	}}})
}

// cancel cancels a random job, which may have ended.
func (c *chaos) cancel() {
	m := c.randomHost()
	if !m.up || len(c.ref.Jobs) == 0 {
		return
	}
	names := config.SortedKeys(c.ref.Jobs)
	c.propose(m, c.newName("c"), record.Entry{Cancel: &record.Cancel{Job: names[c.rng.IntN(len(names))]}})
}

// cancelAll cancels all jobs that have not ended.
func (c *chaos) cancelAll() {
	m := c.randomHost()
	if !m.up {
		return
	}
	for _, name := range config.SortedKeys(c.ref.Jobs) {
		if j := c.ref.Jobs[name]; j.State == "pending" || j.State == "running" {
			c.propose(m, c.newName("c"), record.Entry{Cancel: &record.Cancel{Job: name}})
		}
	}
}

// requests sends up to four copies of one request, each to a random host. If
// the request must run at most once, it may have an idempotency key, which the
// copies share. Some callers go away before the answer.
func (c *chaos) requests() {
	key := ""
	once := c.rng.IntN(3) == 0
	if once && c.rng.IntN(2) == 0 {
		key = c.newName("k")
		if n := len(c.usedKeys); n > 0 && c.rng.IntN(3) == 0 {
			// A caller that got no answer repeats its request later, at
			// any host.
			key = c.usedKeys[n-1-c.rng.IntN(min(n, recentKeys))]
		}
		c.usedKeys = append(c.usedKeys, key)
	}
	for range 1 + c.rng.IntN(4) {
		m := c.randomHost()
		if !m.up {
			continue
		}
		q := route.Request{Service: "svc", Customer: []id.Customer{"frost", "ghent"}[c.rng.IntN(2)], Once: once, Key: key}
		if c.rng.IntN(3) == 0 {
			q.Deadline = c.now.Add(time.Duration(1+c.rng.IntN(8000)) * time.Millisecond)
		}
		c.request(m, c.newName("q"), q)
		if c.rng.IntN(20) == 0 {
			req := c.lastRequest
			c.scheduleWithin(time.Second, func() {
				if x := c.calls[callID{m.name, req}]; x != nil && len(x.replies) == 0 && x.incarnation == m.incarnation {
					x.callerGone = true
					c.step(m, node.CallerGone{Request: req})
				}
			})
		}
	}
}

// configure makes one or two changes to the configuration, each as an operator
// at a random host.
func (c *chaos) configure() {
	for range 1 + c.rng.IntN(2) {
		m := c.randomHost()
		if !m.up || m.core.State() != node.Ready {
			continue
		}
		change := config.Change{SetCustomer: &config.Customer{ID: "pharm", Weight: 1 + c.rng.IntN(100)}}
		if c.rng.IntN(3) == 0 {
			change = config.Change{SetGuarantee: &config.Guarantee{
				ID: "extra", Customer: "ghent", Size: 1 << c.rng.IntN(6), Count: 1 + c.rng.IntN(3),
			}}
		}
		p, err := plan.New(m.core.ReplayedState(), []config.Change{change})
		if err != nil {
			c.reportViolation("plan: %v", err)
			return
		}
		if e, err := p.Entry(); err == nil && len(p.Changes) > 0 {
			// A plan with a problem is proposed as well, because the verdict on
			// its record must reject it.
			c.propose(m, c.newName("p"), e)
		}
	}
}

// killHost kills a random host and restarts it within 20 s.
func (c *chaos) killHost() {
	m := c.randomHost()
	_ = c.controlHost(m.name, "kill")
	c.scheduleWithin(20*time.Second, func() {
		if !m.up {
			_ = c.controlHost(m.name, "start")
		}
	})
}

// pauseHost pauses a random host and resumes it within 25 s.
func (c *chaos) pauseHost() {
	m := c.randomHost()
	if !m.up || m.paused {
		return
	}
	m.paused = true
	incarnation := m.incarnation
	c.scheduleWithin(25*time.Second, func() {
		if m.incarnation == incarnation {
			c.resume(m)
		}
	})
}

// stopHost begins a planned stop of a random host and restarts the host after
// 40 s.
func (c *chaos) stopHost() {
	m := c.randomHost()
	if !m.up || m.paused {
		return
	}
	_ = c.controlHost(m.name, "stop")
	incarnation := m.incarnation
	c.schedule(40*time.Second, func() {
		if m.incarnation == incarnation {
			_ = c.controlHost(m.name, "kill")
			_ = c.controlHost(m.name, "start")
		}
	})
}

// cutHost disconnects a random host from the log, its peers or the workers for
// up to 60 s.
func (c *chaos) cutHost() {
	m := c.randomHost()
	what := []string{"log", "peers", "workers"}[c.rng.IntN(3)]
	_ = c.controlHost(m.name, "cut-"+what)
	incarnation := m.incarnation
	c.scheduleWithin(60*time.Second, func() {
		if m.incarnation == incarnation {
			_ = c.controlHost(m.name, "mend-"+what)
		}
	})
}

// breakLog makes the log fail in a random way for up to 30 s.
func (c *chaos) breakLog() {
	c.lateBy = time.Duration(1+c.rng.IntN(200)) * time.Second
	c.setLog([]logMode{logRefuse, logHang, logLose, logLate}[c.rng.IntN(4)])
	c.scheduleWithin(30*time.Second, func() { c.setLog(logFine) })
}

// breakWorker makes a random worker fail in a random way for up to 40 s.
func (c *chaos) breakWorker() {
	names := config.SortedKeys(c.workers)
	name := names[c.rng.IntN(len(names))]
	how := [][2]string{{"kill", "start"}, {"silent", "answer"}, {"break", "mend"}}[c.rng.IntN(3)]
	_ = c.controlWorker(name, how[0])
	c.scheduleWithin(40*time.Second, func() { _ = c.controlWorker(name, how[1]) })
}

// loseRack kills all workers of a random rack and restarts each within 40 s.
func (c *chaos) loseRack() {
	rack := fmt.Sprintf("r%dw", 1+c.rng.IntN(chaosRacks))
	for _, name := range config.SortedKeys(c.workers) {
		if strings.HasPrefix(string(name), rack) {
			c.killWorker(name)
			c.scheduleWithin(40*time.Second, func() { c.addWorker(name, workerAccelerators) })
		}
	}
}

// breakBackend makes a random backend server fail in a random way or leave, and
// brings it back later.
func (c *chaos) breakBackend() {
	name := id.Backend(fmt.Sprintf("b%d", 1+c.rng.IntN(chaosBackends)))
	if c.backends[name].mode == "leave" {
		return
	}
	mode := []string{"down", "leave", "refuse", "cut", "hang"}[c.rng.IntN(5)]
	c.setBackend(name, mode)
	// A backend server that left comes back only after every host has forgotten
	// that it was leaving.
	back := time.Duration(c.rng.Int64N(int64(30 * time.Second)))
	if mode == "leave" {
		back = 3 * time.Minute
	}
	c.schedule(back, func() { c.setBackend(name, "fine") })
}

// recoverAndCheck ends all failures, cancels all jobs, submits a new one, and
// checks that within ten minutes every job ends and every request is answered.
func (c *chaos) recoverAndCheck() {
	c.setLog(logFine)
	c.netLoss, c.netDup = 0, 0
	for _, name := range config.SortedKeys(c.machines) {
		m := c.machines[name]
		c.resume(m)
		m.logCut, m.peersCut, m.workersCut = false, false, map[id.Worker]bool{}
		if !m.up {
			_ = c.controlHost(name, "start")
		}
	}
	for _, name := range config.SortedKeys(c.workers) {
		f := c.workers[name]
		f.silent = false
		f.SetFaulty(false)
		if f.down {
			c.addWorker(name, workerAccelerators)
		}
	}
	for _, name := range config.SortedKeys(c.backends) {
		c.setBackend(name, "fine")
	}
	c.cancelAll()
	c.advance(5 * time.Minute)
	c.submit()
	c.advance(5 * time.Minute)
	for _, name := range config.SortedKeys(c.ref.Jobs) {
		if j := c.ref.Jobs[name]; j.State == "pending" || j.State == "running" {
			c.reportViolation("job %s is still %s ten minutes after all failures ended", name, j.State)
		}
	}
	for _, x := range c.calls {
		if len(x.replies) == 0 && !x.callerGone {
			c.reportViolation("request %s never got an answer", x.name)
		}
	}
}

// summary counts the actions, the jobs by state, the answers and the records.
// The counts show whether a run has exercised the system at all.
func (c *chaos) summary() string {
	states, answers := map[string]int{}, map[string]int{}
	for _, j := range c.ref.Jobs {
		states[string(j.State)]++
	}
	for _, x := range c.calls {
		answers[x.result(true)]++
	}
	return fmt.Sprintf("actions %v, jobs %v, answers %v, %d records", c.actionCounts, states, answers, c.log.Head())
}
