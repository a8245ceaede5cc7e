package proof_test

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/plan"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
)

var update = flag.Bool("update", false, "update the expected output in the scripts")

// TestScripts runs each script of testdata/script in a world of its own. The
// commands are those of the map commands; docs/PROOFS.md says what each script
// proves.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			e.Values["world"] = &script{world: newWorld(1), plans: map[string]plan.Plan{}}
			return nil
		},
		Cmds: scriptCommands(),
	})
}

// script is the state of one running script: its world, and the plans that its
// commands have made, by name.
type script struct {
	*world
	plans map[string]plan.Plan
}

// commands maps each script command to its function. The arguments of a command
// are plain words or key=value pairs.
var commands = map[string]func(*script, words) error{
	"hosts":   cmdHosts,
	"site":    cmdSite,
	"run":     cmdRun,
	"plan":    cmdPlan,
	"confirm": cmdConfirm,
	"submit":  cmdSubmit,
	"cancel":  cmdCancel,
	"request": cmdRequest,
	"gone":    cmdGone,
	"host":    cmdHost,
	"worker":  cmdWorker,
	"backend": cmdBackend,
	"log":     cmdLog,
	"network": cmdNetwork,
	"job":     cmdJob,
	"verdict": cmdVerdict,
	"answer":  cmdAnswer,
	"keyruns": cmdKeyRuns,
	"expect":  cmdExpect,
	"planned": cmdPlanned,
}

// scriptCommands returns the commands for testscript. Each command fails the
// script if an invariant was violated while it ran.
func scriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range commands {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value("world").(*script)
			err := f(s, parseWords(args))
			if neg == (err == nil) {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
			if len(s.violations) > 0 {
				ts.Fatalf("invariants violated:\n%s", strings.Join(s.violations, "\n"))
			}
		}
	}
	return out
}

// words has the arguments of a command: the plain words in their order, and the
// values of the key=value pairs by key.
type words struct {
	plain []string
	named map[string]string
}

func parseWords(args []string) words {
	w := words{named: map[string]string{}}
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok {
			w.named[k] = v
			continue
		}
		w.plain = append(w.plain, a)
	}
	return w
}

// at returns the plain word with index i, or an empty string.
func (w words) at(i int) string {
	if i < len(w.plain) {
		return w.plain[i]
	}
	return ""
}

// number returns the value of a key as a number, or def if it is absent or
// invalid.
func (w words) number(key string, def int) int {
	if n, err := strconv.Atoi(w.named[key]); err == nil {
		return n
	}
	return def
}

// duration returns the value of a key as a duration, or def if it is absent or
// invalid.
func (w words) duration(key string, def time.Duration) time.Duration {
	if d, err := time.ParseDuration(w.named[key]); err == nil {
		return d
	}
	return def
}

// list returns the comma-separated values of a key.
func (w words) list(key string) []string {
	return strings.FieldsFunc(w.named[key], func(r rune) bool { return r == ',' })
}

// cmdHosts starts the hosts h1 to hN and waits 4 s: hosts N.
func cmdHosts(s *script, w words) error {
	n, err := strconv.Atoi(w.at(0))
	for i := range n {
		s.startHost(id.Host(fmt.Sprintf("h%d", i+1)))
	}
	s.run(4 * time.Second)
	return err
}

// siteChanges returns the changes for the initial configuration of a site: two
// customers, a service, racks of 8 workers, and guarantees.
func siteChanges(racks int, guarantees []string) ([]config.Change, error) {
	changes := []config.Change{
		{SetCustomer: &config.Customer{ID: "frost", Weight: 2}},
		{SetCustomer: &config.Customer{ID: "ghent", Weight: 1}},
		{SetService: &config.Service{ID: "svc", Slots: 8, Connections: 60, Timeout: svcTimeout}},
	}
	for i := range racks {
		r := config.Rack{ID: id.Rack(fmt.Sprintf("r%d", i+1)), Domain: "d1"}
		for k := range 8 {
			r.Workers = append(r.Workers, config.Worker{
				ID: id.Worker(fmt.Sprintf("r%dw%d", i+1, k)), Accelerators: workerAccelerators, Cores: 60, Memory: 250 * unit.GiB,
			})
		}
		changes = append(changes, config.Change{SetRack: &r})
	}
	for _, g := range guarantees {
		// NAME:CUSTOMER:SIZE:COUNT
		f := strings.Split(g, ":")
		if len(f) != 4 {
			return nil, fmt.Errorf("guarantee %s: want NAME:CUSTOMER:SIZE:COUNT", g)
		}
		size, err1 := strconv.Atoi(f[2])
		count, err2 := strconv.Atoi(f[3])
		if err1 != nil || err2 != nil {
			return nil, fmt.Errorf("guarantee %s: size and count must be numbers", g)
		}
		changes = append(changes, config.Change{SetGuarantee: &config.Guarantee{
			ID: id.Guarantee(f[0]), Customer: id.Customer(f[1]), Size: size, Count: count,
		}})
	}
	return changes, nil
}

// cmdSite configures racks of 8 workers and starts the workers and backend
// servers: site [racks=N] [backends=N] [guarantees=NAME:CUSTOMER:SIZE:COUNT,...].
func cmdSite(s *script, w words) error {
	racks := w.number("racks", 1)
	changes, err := siteChanges(racks, w.list("guarantees"))
	if err != nil {
		return err
	}
	for i := range racks {
		for k := range 8 {
			s.addWorker(id.Worker(fmt.Sprintf("r%dw%d", i+1, k)), workerAccelerators)
		}
	}
	for i := range w.number("backends", 0) {
		s.backends[id.Backend(fmt.Sprintf("b%d", i+1))] = &backend{serviceTime: 20 * time.Millisecond}
	}
	m := s.anyHost()
	if m == nil {
		return fmt.Errorf("no host is ready")
	}
	p, err := plan.New(s.ref, changes)
	if err != nil {
		return err
	}
	if p.Problem != "" {
		return fmt.Errorf("%s", p.Problem)
	}
	e, err := p.Entry()
	if err != nil {
		return err
	}
	s.propose(m, "site", e)
	s.run(3 * time.Second)
	return s.verdicts["site"]
}

// cmdRun advances the virtual clock: run DURATION.
func cmdRun(s *script, w words) error {
	d, err := time.ParseDuration(w.at(0))
	s.advance(d)
	return err
}

// advance runs the world for a time. It checks the limits on partial gangs and
// delayed configurations every 250 ms, and at the end the states of the hosts.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.run(min(250*time.Millisecond, end.Sub(w.now)))
		w.checkPartialGangs()
		w.checkConfigDelay()
	}
	w.checkStates()
}

// cmdPlan makes a plan at a host and keeps it under a name: plan NAME HOST
// [guarantees=...] [customer=NAME weight=N quota=N] [delete=SERVICE].
func cmdPlan(s *script, w words) error {
	changes, err := siteChanges(0, w.list("guarantees"))
	if err != nil {
		return err
	}
	// Only the guarantees remain, without the two customers and the service.
	changes = changes[3:]
	if c := w.named["customer"]; c != "" {
		changes = append(changes, config.Change{SetCustomer: &config.Customer{
			ID: id.Customer(c), Weight: w.number("weight", 1), Quota: w.number("quota", 0),
		}})
	}
	if w.named["delete"] != "" {
		changes = append(changes, config.Change{DeleteService: id.Service(w.named["delete"])})
	}
	m := s.machines[id.Host(w.at(1))]
	p, err := plan.New(m.core.ReplayedState(), changes)
	s.plans[w.at(0)] = p
	if err == nil && p.Problem != "" {
		return fmt.Errorf("%s", p.Problem)
	}
	return err
}

// cmdConfirm confirms a kept plan at a host: confirm NAME HOST.
func cmdConfirm(s *script, w words) error {
	e, err := s.plans[w.at(0)].Entry()
	if err != nil {
		return err
	}
	s.propose(s.machines[id.Host(w.at(1))], w.at(0), e)
	return nil
}

// cmdSubmit submits a job at a host: submit JOB customer=C size=N run=run-5s
// [host=H] [once=yes] [urgent=yes] [declared=1h] [cores=N]. The value of run is
// the command of the job, with - for each space. Without host, any ready host
// is used.
func cmdSubmit(s *script, w words) error {
	m := s.machines[id.Host(w.named["host"])]
	if m == nil {
		m = s.anyHost()
	}
	if m == nil {
		return fmt.Errorf("no host is ready")
	}
	s.propose(m, w.at(0), record.Entry{Submit: &record.Submit{Job: record.Job{
		ID: id.Job(w.at(0)), Customer: id.Customer(w.named["customer"]), Accelerators: w.number("size", 1),
		Declared: w.duration("declared", time.Hour), AtMostOnce: w.named["once"] == "yes", Urgent: w.named["urgent"] == "yes",
		Command: strings.ReplaceAll(w.named["run"], "-", " "), Submitted: s.now,
		Cores: w.number("cores", 0),
	}}})
	return nil
}

// cmdCancel cancels a job: cancel JOB [host=H]. Without host, any ready host is
// used.
func cmdCancel(s *script, w words) error {
	m := s.machines[id.Host(w.named["host"])]
	if m == nil {
		m = s.anyHost()
	}
	s.propose(m, "cancel-"+w.at(0), record.Entry{Cancel: &record.Cancel{Job: id.Job(w.at(0))}})
	return nil
}

// cmdRequest sends requests to a host: request NAME host=H [count=N] [once=yes]
// [key=K] [customer=C] [timeout=D] [every=D]. It sends all requests at once, or
// one per interval with every. The first one is called NAME, the others NAME-1,
// NAME-2, ...
func cmdRequest(s *script, w words) error {
	for i := range w.number("count", 1) {
		q := route.Request{
			Service: "svc", Customer: id.Customer(w.named["customer"]),
			Once: w.named["once"] == "yes", Key: w.named["key"],
		}
		if q.Customer == "" {
			q.Customer = "ghent"
		}
		if d := w.duration("timeout", 0); d > 0 {
			q.Deadline = s.now.Add(d)
		}
		name := w.at(0)
		if i > 0 {
			name += "-" + strconv.Itoa(i)
		}
		m := s.machines[id.Host(w.named["host"])]
		if every := w.duration("every", 0); every > 0 {
			s.schedule(time.Duration(i)*every, func() { s.request(m, name, q) })
			continue
		}
		s.request(m, name, q)
	}
	return nil
}

// cmdGone notifies the host that the caller of a request went away: gone NAME.
func cmdGone(s *script, w words) error {
	for k, c := range s.calls {
		if c.name == w.at(0) {
			c.callerGone = true
			s.step(s.machines[k.host], node.CallerGone{Request: k.req})
		}
	}
	return nil
}

// cmdHost controls a host: host H VERB. H is the name of a host, "owner" or
// "all". VERB is start, kill, pause, resume, stop, cut-log, mend-log, cut-peers,
// mend-peers, cut-workers or mend-workers. The cut verbs make the log, the peers
// or the workers unreachable for the host, and the mend verbs make them reachable
// again.
func cmdHost(s *script, w words) error {
	names := []id.Host{id.Host(w.at(0))}
	switch w.at(0) {
	case "owner":
		names = []id.Host{s.ref.Owner.Host}
	case "all":
		names = config.SortedKeys(s.machines)
	}
	for _, n := range names {
		if err := s.controlHost(n, w.at(1)); err != nil {
			return err
		}
	}
	return nil
}

// cmdWorker controls workers: worker W[,W...] kill|start|silent|answer|break|mend.
// A silent worker runs its tasks but answers no sync until the verb answer. A
// broken worker crashes each task that it starts until the verb mend. A name
// that ends in * stands for all workers with this prefix.
func cmdWorker(s *script, w words) error {
	found := false
	for _, pattern := range strings.Split(w.at(0), ",") {
		prefix, wild := strings.CutSuffix(pattern, "*")
		for _, name := range config.SortedKeys(s.workers) {
			if string(name) != pattern && !(wild && strings.HasPrefix(string(name), prefix)) {
				continue
			}
			found = true
			if err := s.controlWorker(name, w.at(1)); err != nil {
				return err
			}
		}
	}
	if !found {
		return fmt.Errorf("no worker %s", w.at(0))
	}
	return nil
}

// cmdBackend sets the mode of backend servers: backend B|all MODE. The modes are
// those of backend.mode.
func cmdBackend(s *script, w words) error {
	for _, n := range config.SortedKeys(s.backends) {
		if w.at(0) == "all" || string(n) == w.at(0) {
			s.setBackend(n, w.at(1))
		}
	}
	return nil
}

// cmdLog sets the mode of the log or changes its records: log MODE [by=2m], or
// log damage|forget|forget-old. The modes are those of logMode; by is the delay
// of late appends. Damage appends an invalid record, forget drops all records,
// and forget-old drops all but the newest three.
func cmdLog(s *script, w words) error {
	switch w.at(0) {
	case "damage":
		s.appendToLog([]byte("this is no record of ours"))
	case "forget":
		s.log.DropBefore(s.log.Head() + 1)
	case "forget-old":
		// The newest snapshot and the records after it remain.
		s.log.DropBefore(s.log.Head() - 2)
	default:
		s.lateBy = w.duration("by", 2*time.Minute)
		s.setLog(logMode(w.at(0)))
	}
	return nil
}

// cmdNetwork sets the failures of the network: network loss=PERCENT dup=PERCENT
// lag=D. See world.netLoss, world.netDup and world.listLag.
func cmdNetwork(s *script, w words) error {
	s.netLoss = float64(w.number("loss", 0)) / 100
	s.netDup = float64(w.number("dup", 0)) / 100
	s.listLag = w.duration("lag", s.listLag)
	return nil
}

// cmdJob checks the state of a job: job JOB STATE [attempt=N].
func cmdJob(s *script, w words) error {
	j := s.ref.Jobs[id.Job(w.at(0))]
	if j == nil {
		return state.ErrNoJob
	}
	if string(j.State) != w.at(1) || w.number("attempt", j.Attempt) != j.Attempt {
		return fmt.Errorf("job %s is %s in attempt %d (%s)", w.at(0), j.State, j.Attempt, j.Reason)
	}
	return nil
}

// cmdVerdict checks the verdict on a proposal: verdict NAME accepted|pending|TEXT.
// TEXT is part of the reason for a rejection.
func cmdVerdict(s *script, w words) error {
	err, ok := s.verdicts[w.at(0)]
	got := "accepted"
	switch {
	case !ok:
		got = "pending"
	case err != nil:
		got = err.Error()
	}
	if !strings.Contains(got, strings.Join(w.plain[1:], " ")) {
		return fmt.Errorf("the verdict is: %s", got)
	}
	return nil
}

// cmdAnswer checks the answers to the requests NAME, NAME-1, ...: answer NAME
// whole|CODE|pending [ran=no|yes|unknown] [count=N]. With count, exactly N
// requests have this answer; without it, all of them do. Whole means that the
// complete answer of a backend server was relayed.
func cmdAnswer(s *script, w words) error {
	got := map[string]int{}
	for _, c := range s.calls {
		if c.name == w.at(0) || strings.HasPrefix(c.name, w.at(0)+"-") {
			got[c.result(w.named["ran"] != "")]++
		}
	}
	want := w.at(1)
	if r := w.named["ran"]; r != "" {
		want += " ran=" + r
	}
	n := w.number("count", -1)
	if got[want] == 0 && n != 0 || n >= 0 && got[want] != n || n < 0 && len(got) > 1 {
		return fmt.Errorf("the answers are %v", got)
	}
	return nil
}

// result describes the final answer to a call: pending, whole for a relayed
// answer, or the code of a refusal. With ran, it adds whether the request ran.
func (c *call) result(ran bool) string {
	if len(c.replies) == 0 {
		return "pending"
	}
	r := c.replies[0]
	out := string(r.Code)
	if r.RelayedAttempt != 0 {
		out = "whole"
	}
	if ran {
		out += " ran=" + string(r.Ran)
	}
	return out
}

// cmdKeyRuns checks how often requests of customer ghent with a key ran: keyruns
// KEY N.
func cmdKeyRuns(s *script, w words) error {
	if n := strconv.Itoa(s.keyRuns[state.Key{Customer: "ghent", Key: w.at(0)}]); n != w.at(1) {
		return fmt.Errorf("key %s ran %s times", w.at(0), n)
	}
	return nil
}

// cmdExpect checks a host: expect HOST STATE, expect HOST owner, or expect HOST
// config=latest. STATE is ready, joining, isolated, draining or stopped.
func cmdExpect(s *script, w words) error {
	m := s.machines[id.Host(w.at(0))]
	if w.at(1) == "owner" {
		if s.ref.Owner.Host != m.name {
			return fmt.Errorf("the owner is %s", s.ref.Owner.Host)
		}
		return nil
	}
	if w.named["config"] == "latest" {
		if m.core.ConfigAt() != s.ref.ConfigAt {
			return fmt.Errorf("host %s has configuration %d, the log has %d", m.name, m.core.ConfigAt(), s.ref.ConfigAt)
		}
		return nil
	}
	if string(m.core.State()) != w.at(1) {
		return fmt.Errorf("host %s is %s", m.name, m.core.State())
	}
	return nil
}

// cmdPlanned checks that a line of a kept plan, a preempted job or the plan's
// problem contains a text: planned NAME TEXT.
func cmdPlanned(s *script, w words) error {
	p := s.plans[w.at(0)]
	all := slices.Clone(p.Lines)
	for _, j := range p.Preempts {
		all = append(all, "preempts "+string(j))
	}
	all = append(all, p.Problem)
	text := strings.Join(w.plain[1:], " ")
	if !slices.ContainsFunc(all, func(l string) bool { return strings.Contains(l, text) }) {
		return fmt.Errorf("the plan says %q", all)
	}
	return nil
}
