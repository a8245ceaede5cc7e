package cmd_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/examples"
	"curlewsill.org/curlewsill/internal/client"
	"curlewsill.org/curlewsill/internal/intent"
	"curlewsill.org/curlewsill/internal/load"
	"curlewsill.org/curlewsill/internal/platform/hosts"
	"curlewsill.org/curlewsill/internal/platform/wire"
	"curlewsill.org/curlewsill/internal/standin/backendsvc"
	"curlewsill.org/curlewsill/internal/standin/logsvc"
	"curlewsill.org/curlewsill/internal/standin/workersvc"
)

// runMain is an environment variable that makes the test binary run as curlewsilld.
const runMain = "CURLEWSILLD_RUN_MAIN"

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 60 * time.Second

// process is a curlewsilld in a separate process.
type process struct {
	cmd                *exec.Cmd
	callers, operators string
	client             *client.Client
}

// platform holds the stand-ins of the platform, which run in the test's process.
type platform struct {
	logURL, workerURL string
	workers           *workersvc.Service
	backends          *backendsvc.Service
}

func newPlatform(t *testing.T) *platform {
	p := &platform{workers: workersvc.New()}
	l, w := httptest.NewServer(logsvc.New(10_000, 0)), httptest.NewServer(p.workers)
	b, err := backendsvc.New(10, 8, 10*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); w.Close(); b.Close() })
	p.logURL, p.workerURL, p.backends = l.URL, w.URL, b
	a := wire.Announcement{Service: "thermal-analytics"}
	for _, addr := range b.Addresses() {
		a.Backends = append(a.Backends, wire.Backend{ID: id.Backend(addr)})
	}
	if err := hosts.New(l.URL, http.DefaultClient).Announce(t.Context(), "service", a); err != nil {
		t.Fatal(err)
	}
	return p
}

// start starts a curlewsilld and reads its addresses from its log.
func (p *platform) start(t *testing.T, dir, name string) *process {
	token, file := filepath.Join(dir, "token"), filepath.Join(dir, name+".ini")
	settings := fmt.Sprintf("[host]\nid = %s\ndomain = d\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n"+
		"token_file = %s\n[platform]\nlog = %s\nhosts = %s\nworkers = %s\n", name, token, p.logURL, p.logURL, p.workerURL)
	for f, text := range map[string]string{token: "t", file: settings} {
		if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	x := &process{cmd: exec.Command(os.Args[0], "--config", file)}
	x.cmd.Env = append(os.Environ(), runMain+"=1")
	out, err := x.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := x.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = x.cmd.Process.Kill() })
	var line struct{ Callers, Operators string }
	in := bufio.NewScanner(out)
	for line.Callers == "" && in.Scan() {
		_ = json.Unmarshal(in.Bytes(), &line)
	}
	go func() {
		for in.Scan() {
			if bytes.Contains(in.Bytes(), []byte("invariant")) {
				t.Errorf("host %s logged a violated invariant: %s", name, in.Bytes())
			}
		}
	}()
	x.callers, x.operators = "http://"+line.Callers, "http://"+line.Operators
	x.client = client.New(x.operators, "t")
	return x
}

func (x *process) signal(t *testing.T, s syscall.Signal) {
	if err := x.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// waitFor waits until ok reports true, and fails the test after eventTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	for end := time.Now().Add(eventTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen in %s", what, eventTimeout)
		}
	}
}

func (x *process) view(ctx context.Context) node.View {
	v, _ := x.client.Status(ctx)
	return v
}

// job returns a job as the host knows it, or an empty one if it doesn't know it.
func (x *process) job(ctx context.Context, name id.Job) state.Job {
	jobs, _ := x.client.Jobs(ctx)
	for _, j := range jobs {
		if j.Spec.ID == name {
			return j
		}
	}
	return state.Job{}
}

// TestProcesses kills, freezes and stops entry hosts in separate processes, under load
// and while a gang runs. A request or gang that must run at most once must not run
// twice. A request that was refused as not run must not have run. A planned stop must
// exit with 0.
func TestProcesses(t *testing.T) {
	p := newPlatform(t)
	dir := t.TempDir()
	all := map[id.Host]*process{}
	for _, name := range []string{"h1", "h2", "h3", "h4"} {
		all[id.Host(name)] = p.start(t, dir, name)
	}
	ctx := t.Context()
	for _, x := range all {
		waitFor(t, "readiness of a host with all peers and an owner", func() bool {
			v := x.view(ctx)
			return v.State == node.Ready && len(v.Peers) == len(all) && v.Owner.Epoch > 0
		})
	}
	first := all["h1"]
	data, err := examples.Read("delta-north", "site.ini")
	if err != nil {
		t.Fatal(err)
	}
	changes, err := intent.Parse("site.ini", data)
	if err != nil {
		t.Fatal(err)
	}
	plan, err := first.client.Plan(ctx, changes)
	if err != nil {
		t.Fatal(err)
	}
	off, err := first.client.Confirm(ctx, plan)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range all {
		waitFor(t, "the new configuration on a host", func() bool { return x.view(ctx).ConfigAt >= off })
	}
	runWithFailures(t, p, all)
}

// runWithFailures submits a gang and sends load, while one host is killed, one is
// frozen for 5 s and one is stopped as planned.
func runWithFailures(t *testing.T, p *platform, all map[id.Host]*process) {
	ctx := t.Context()
	owner := all["h1"].view(ctx).Owner.Host
	var rest []*process
	run := load.Config{
		Service: "thermal-analytics", Customers: []id.Customer{"pharmacy", "excursion"},
		Rate: 150, Duration: 14 * time.Second, OnceShare: 0.5, Body: 200, Name: "p", Seed: 1,
	}
	for name, x := range all {
		run.Targets = append(run.Targets, x.callers)
		if name != owner {
			rest = append(rest, x)
		}
	}
	frozen, leaving, observer := rest[0], rest[1], rest[2]
	if _, err := observer.client.Submit(ctx, record.Job{
		ID: "once", Customer: "excursion", Accelerators: 16, AtMostOnce: true, Declared: time.Minute, Command: "run 12s",
	}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the start of the gang", func() bool { return observer.job(ctx, "once").State == state.Running })
	done := make(chan load.Report, 1)
	go func() {
		rep, err := load.Do(ctx, run, func(context.Context) (backendsvc.Ledger, error) { return p.backends.Ledger(), nil })
		if err != nil {
			t.Error(err)
		}
		done <- rep
	}()
	time.Sleep(2 * time.Second)
	all[owner].signal(t, syscall.SIGKILL)
	frozen.signal(t, syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	frozen.signal(t, syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	leaving.signal(t, syscall.SIGTERM)
	if err := leaving.cmd.Wait(); err != nil {
		t.Errorf("the planned stop did not exit with 0: %v", err)
	}
	rep := <-done
	t.Logf("%+v", rep)
	if rep.RanTwice+rep.NotRunButRan+rep.Wrong+rep.Incomplete > 0 || rep.Complete == 0 {
		t.Errorf("guarantees violated: %+v", rep)
	}
	waitFor(t, "the end of the gang", func() bool { return observer.job(ctx, "once").State == "finished" })
	if n := len(p.workers.Ledger().Starts); n != 2 {
		t.Errorf("%d tasks were started, want 2", n)
	}
	for _, x := range []*process{frozen, observer} {
		if n := x.view(ctx).Counts.Faults; n > 0 {
			t.Errorf("a host counts %d violated invariants, want 0", n)
		}
	}
}
