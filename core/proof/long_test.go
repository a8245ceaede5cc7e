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
	longEvents = flag.Int("events", 60_000, "events of the long run")
	longSeed   = flag.Uint64("seed", 1, "seed of the long run")
)

// TestLong mixes all failures at random, two and three at once, and checks what must
// always hold. The same seed gives the same run:
//
//	go test ./core/proof -run Long -args -events 1000000 -seed 7
func TestLong(t *testing.T) {
	t.Logf("seed %d, %d events", *longSeed, *longEvents)
	c := newChaos(*longSeed)
	for c.events < *longEvents && len(c.broken) == 0 {
		c.act()
		c.advance(time.Duration(c.rng.Int64N(int64(800 * time.Millisecond))))
	}
	if len(c.broken) == 0 {
		c.settle()
	}
	t.Logf("%d events, %s of virtual time; %s", c.events, c.now.Sub(epochZero).Round(time.Second), c.summary())
	if len(c.broken) > 0 {
		t.Fatalf("seed %d, event %d:\n%s", *longSeed, c.events, strings.Join(c.broken, "\n"))
	}
}

const (
	chaosHosts    = 5
	chaosRacks    = 4
	chaosBackends = 8
	// recentKeys is among how many of the last keys a caller's second try chooses.
	recentKeys = 5
)

// chaos is a world with something going wrong all the time.
type chaos struct {
	*world
	names int
	// used lists the keys of requests.
	used []string
	// acts counts what was done, by kind.
	acts map[string]int
}

func newChaos(seed uint64) *chaos {
	s := &script{world: newWorld(seed), kept: map[string]plan.Plan{}}
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
	return &chaos{world: s.world, acts: map[string]int{}}
}

// kind is one thing that can happen, with how likely it is.
type kind struct {
	name   string
	weight int
	do     func(*chaos)
}

var kinds = []kind{
	{"submit", 30, (*chaos).submit},
	{"cancel", 4, (*chaos).cancel},
	{"wave", 1, (*chaos).wave},
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
	{"damage", 1, func(c *chaos) { c.land([]byte("damaged")) }},
}

// act does one thing at random.
func (c *chaos) act() {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	n := c.rng.IntN(total)
	for _, k := range kinds {
		if n -= k.weight; n < 0 {
			c.acts[k.name]++
			k.do(c)
			return
		}
	}
}

func (c *chaos) name(prefix string) string {
	c.names++
	return fmt.Sprintf("%s%d", prefix, c.names)
}

// host returns a random host.
func (c *chaos) host() *machine {
	names := config.Sorted(c.machines)
	return c.machines[names[c.rng.IntN(len(names))]]
}

// later does something after a random time up to most.
func (c *chaos) later(most time.Duration, do func()) {
	c.after(time.Duration(c.rng.Int64N(int64(most))), do)
}

func (c *chaos) submit() {
	m := c.host()
	if !m.up {
		return
	}
	sizes := []int{1, 2, 4, 8, 8, 16, 16, 32, 64}
	commands := []string{"run 2s", "run 10s", "run 30s", "run 2m", "crash 3s"}
	name := c.name("j")
	c.propose(m, name, record.Entry{Submit: &record.Submit{Job: record.Job{
		ID: id.Job(name), Customer: []id.Customer{"frost", "ghent"}[c.rng.IntN(2)],
		Accelerators: sizes[c.rng.IntN(len(sizes))], Once: c.rng.IntN(3) == 0, Urgent: c.rng.IntN(5) == 0,
		Declared: time.Duration(1+c.rng.IntN(100)) * time.Second, Command: commands[c.rng.IntN(len(commands))],
		Submitted: c.now,
	}}})
}

func (c *chaos) cancel() {
	m := c.host()
	if !m.up || len(c.ref.Jobs) == 0 {
		return
	}
	names := config.Sorted(c.ref.Jobs)
	c.propose(m, c.name("c"), record.Entry{Cancel: &record.Cancel{Job: names[c.rng.IntN(len(names))]}})
}

// wave cancels everything that has not ended.
func (c *chaos) wave() {
	m := c.host()
	if !m.up {
		return
	}
	for _, name := range config.Sorted(c.ref.Jobs) {
		if j := c.ref.Jobs[name]; j.State == "pending" || j.State == "running" {
			c.propose(m, c.name("c"), record.Entry{Cancel: &record.Cancel{Job: name}})
		}
	}
}

func (c *chaos) requests() {
	key := ""
	once := c.rng.IntN(3) == 0
	if once && c.rng.IntN(2) == 0 {
		key = c.name("k")
		if n := len(c.used); n > 0 && c.rng.IntN(3) == 0 {
			// A caller that got no answer asks again, later and elsewhere.
			key = c.used[n-1-c.rng.IntN(min(n, recentKeys))]
		}
		c.used = append(c.used, key)
	}
	for range 1 + c.rng.IntN(4) {
		m := c.host()
		if !m.up {
			continue
		}
		q := route.Request{Service: "svc", Customer: []id.Customer{"frost", "ghent"}[c.rng.IntN(2)], Once: once, Key: key}
		if c.rng.IntN(3) == 0 {
			q.Deadline = c.now.Add(time.Duration(1+c.rng.IntN(8000)) * time.Millisecond)
		}
		c.request(m, c.name("q"), q)
		if c.rng.IntN(20) == 0 {
			req := c.last
			c.later(time.Second, func() {
				if x := c.calls[callID{m.name, req}]; x != nil && len(x.replies) == 0 && x.life == m.life {
					x.gone = true
					c.step(m, node.Gone{Request: req})
				}
			})
		}
	}
}

// configure lets one or two operators change something.
func (c *chaos) configure() {
	for range 1 + c.rng.IntN(2) {
		m := c.host()
		if !m.up || m.core.State() != node.Ready {
			continue
		}
		change := config.Change{SetCustomer: &config.Customer{ID: "pharm", Weight: 1 + c.rng.IntN(100)}}
		if c.rng.IntN(3) == 0 {
			change = config.Change{SetGuarantee: &config.Guarantee{
				ID: "extra", Customer: "ghent", Size: 1 << c.rng.IntN(6), Count: 1 + c.rng.IntN(3),
			}}
		}
		p, err := plan.Draw(m.core.Shared(), []config.Change{change})
		if err != nil {
			c.violated("plan: %v", err)
			return
		}
		if e, err := p.Entry(); err == nil && len(p.Changes) > 0 {
			// A plan with a problem is sent as well: the log has to refuse it.
			c.propose(m, c.name("p"), e)
		}
	}
}

func (c *chaos) killHost() {
	m := c.host()
	_ = c.disturb(m.name, "kill")
	c.later(20*time.Second, func() {
		if !m.up {
			_ = c.disturb(m.name, "start")
		}
	})
}

func (c *chaos) pauseHost() {
	m := c.host()
	if !m.up || m.paused {
		return
	}
	m.paused = true
	life := m.life
	c.later(25*time.Second, func() {
		if m.life == life {
			c.resume(m)
		}
	})
}

func (c *chaos) stopHost() {
	m := c.host()
	if !m.up || m.paused {
		return
	}
	_ = c.disturb(m.name, "stop")
	life := m.life
	c.after(40*time.Second, func() {
		if m.life == life {
			_ = c.disturb(m.name, "kill")
			_ = c.disturb(m.name, "start")
		}
	})
}

func (c *chaos) cutHost() {
	m := c.host()
	what := []string{"log", "peers", "workers"}[c.rng.IntN(3)]
	_ = c.disturb(m.name, "cut-"+what)
	life := m.life
	c.later(60*time.Second, func() {
		if m.life == life {
			_ = c.disturb(m.name, "mend-"+what)
		}
	})
}

func (c *chaos) breakLog() {
	c.lateBy = time.Duration(1+c.rng.IntN(200)) * time.Second
	c.setLog([]logMode{logRefuse, logHang, logLose, logLate}[c.rng.IntN(4)])
	c.later(30*time.Second, func() { c.setLog(logFine) })
}

func (c *chaos) breakWorker() {
	names := config.Sorted(c.workers)
	name := names[c.rng.IntN(len(names))]
	how := [][2]string{{"kill", "start"}, {"silent", "answer"}, {"break", "mend"}}[c.rng.IntN(3)]
	_ = c.disturbWorker(name, how[0])
	c.later(40*time.Second, func() { _ = c.disturbWorker(name, how[1]) })
}

func (c *chaos) loseRack() {
	rack := fmt.Sprintf("r%dw", 1+c.rng.IntN(chaosRacks))
	for _, name := range config.Sorted(c.workers) {
		if strings.HasPrefix(string(name), rack) {
			c.killWorker(name)
			c.later(40*time.Second, func() { c.addWorker(name, perWorker) })
		}
	}
}

func (c *chaos) breakBackend() {
	name := id.Backend(fmt.Sprintf("b%d", 1+c.rng.IntN(chaosBackends)))
	if c.backends[name].mode == "leave" {
		return
	}
	mode := []string{"down", "leave", "refuse", "cut", "hang"}[c.rng.IntN(5)]
	c.setBackend(name, mode)
	// One that left comes back when nobody can remember it as leaving.
	back := time.Duration(c.rng.Int64N(int64(30 * time.Second)))
	if mode == "leave" {
		back = 3 * time.Minute
	}
	c.after(back, func() { c.setBackend(name, "fine") })
}

// settle mends everything and checks that work comes to its end.
func (c *chaos) settle() {
	c.setLog(logFine)
	c.netLoss, c.netDup = 0, 0
	for _, name := range config.Sorted(c.machines) {
		m := c.machines[name]
		c.resume(m)
		m.noLog, m.noPeers, m.noWorkers = false, false, map[id.Worker]bool{}
		if !m.up {
			_ = c.disturb(name, "start")
		}
	}
	for _, name := range config.Sorted(c.workers) {
		f := c.workers[name]
		f.silent = false
		f.Break(false)
		if f.down {
			c.addWorker(name, perWorker)
		}
	}
	for _, name := range config.Sorted(c.backends) {
		c.setBackend(name, "fine")
	}
	c.wave()
	c.advance(5 * time.Minute)
	c.submit()
	c.advance(5 * time.Minute)
	for _, name := range config.Sorted(c.ref.Jobs) {
		if j := c.ref.Jobs[name]; j.State == "pending" || j.State == "running" {
			c.violated("job %s is still %s ten minutes after everything was mended", name, j.State)
		}
	}
	for _, x := range c.calls {
		if len(x.replies) == 0 && !x.gone {
			c.violated("request %s never got an answer", x.name)
		}
	}
}

// summary says what happened, so that a run that exercises nothing is seen.
func (c *chaos) summary() string {
	states, answers := map[string]int{}, map[string]int{}
	for _, j := range c.ref.Jobs {
		states[string(j.State)]++
	}
	for _, x := range c.calls {
		answers[x.result(true)]++
	}
	return fmt.Sprintf("acts %v, jobs %v, answers %v, %d records", c.acts, states, answers, c.log.Head())
}
