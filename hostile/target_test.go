package hostile

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/examples"
	"curlewsill.org/curlewsill/internal/client"
	"curlewsill.org/curlewsill/internal/edge"
	"curlewsill.org/curlewsill/internal/intent"
	"curlewsill.org/curlewsill/internal/platform/hosts"
	"curlewsill.org/curlewsill/internal/platform/wire"
	"curlewsill.org/curlewsill/internal/standin/backendsvc"
	"curlewsill.org/curlewsill/internal/standin/logsvc"
	"curlewsill.org/curlewsill/internal/standin/workersvc"
	"curlewsill.org/curlewsill/platform/standin"
)

// ordinaryTimeout bounds the wait until an ordinary request is answered. A caller
// that is refused, or whose connection ends, asks again.
const ordinaryTimeout = 60 * time.Second

// target is the process that a crowd meets.
type target struct {
	cmd   *exec.Cmd
	ended chan struct{}
	// readLog is closed when the log is to be read again; nil if it always is.
	readLog chan struct{}
	// address is the listener of the clients, crowdAddress that of the crowd, and
	// operators that of the operators.
	address, crowdAddress, operators string
	// path returns the path of a client's n-th request, headers are the header
	// lines of each request.
	path    func(client, n int) string
	headers string
}

// startProcess starts curlewsilld and waits until its log tells its addresses.
func startProcess(t *testing.T, s *scenario, settings string, args ...string) *target {
	file := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &target{cmd: exec.Command(os.Args[0], append(args, "--config", file)...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), programVar+"="+program, descriptorsVar+"="+strconv.Itoa(s.descriptors))
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(out)
	var said strings.Builder
	for p.address == "" {
		line, err := in.ReadString('\n')
		said.WriteString(line)
		if err != nil {
			t.Fatalf("the process doesn't start: %s", said.String())
		}
		var m struct{ Callers, Operators, Readiness, Peers string }
		if json.Unmarshal([]byte(line), &m) == nil {
			p.address, p.operators = m.Callers, m.Operators
			p.crowdAddress = map[string]string{"callers": m.Callers, "operators": m.Operators, "readiness": m.Readiness, "peers": m.Peers}[s.listener]
		}
	}
	if s.stalledLog {
		p.readLog = make(chan struct{})
	}
	go func() {
		if p.readLog != nil {
			<-p.readLog
		}
		_, _ = io.Copy(io.Discard, in)
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		if p.readLog != nil {
			close(p.readLog)
		}
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	return p
}

func (p *target) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// startSite starts curlewsilld site with a stand-in of the store.
func startSite(t *testing.T, s *scenario) *target {
	store := standin.NewStore()
	store.PutSite()
	address, stop, err := standin.Listen(store)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	p := startProcess(t, s, fmt.Sprintf("[host]\nid = h\ndomain = d\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n"+
		"metrics = 127.0.0.1:0\n[store]\naddress = %s\n[limits]\n%sdescriptors = %d\n", address, s.limits, s.descriptors), "site")
	p.path = func(client, n int) string { return fmt.Sprintf("%s%08x%08x", standin.SitePrefix, client+1, n) }
	p.headers = "Host: " + standin.SiteHost + "\r\nAuthorization: Bearer " + standin.SiteKey + "\r\nDeadline-Ms: 20000\r\n"
	return p
}

// edgeService is the service of the shipped settings that the crowds call.
const edgeService = "thermal-analytics"

// startEdge starts curlewsilld with stand-ins of the platform and of backend
// servers, which answer each request with its body.
func startEdge(t *testing.T, s *scenario) *target {
	log, workers := httptest.NewServer(logsvc.New(10_000, 0)), httptest.NewServer(workersvc.New())
	t.Cleanup(func() { log.Close(); workers.Close() })
	backends, err := backendsvc.New(4, 64, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backends.Close)
	a := wire.Announcement{Service: edgeService}
	for _, addr := range backends.Addresses() {
		a.Backends = append(a.Backends, wire.Backend{ID: id.Backend(addr)})
	}
	if err := hosts.New(log.URL, http.DefaultClient).Announce(t.Context(), "service", a); err != nil {
		t.Fatal(err)
	}
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("t"), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, s, fmt.Sprintf("[host]\nid = h\ndomain = d\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n"+
		"token_file = %s\n[platform]\nlog = %s\nhosts = %s\nworkers = %s\n[limits]\n%s", token, log.URL, log.URL, workers.URL, s.limits))
	p.path = func(client, n int) string {
		return fmt.Sprintf("%s%s/%d/%d", edge.ServicePathPrefix, edgeService, client, n)
	}
	p.headers = "Host: h\r\n" + edge.CustomerHeader + ": pharmacy\r\n"
	p.configureEdge(t)
	return p
}

// configureEdge puts the shipped site in force.
func (p *target) configureEdge(t *testing.T) {
	data, err := examples.Read("delta-north", "site.ini")
	if err != nil {
		t.Fatal(err)
	}
	changes, err := intent.Parse("site.ini", data)
	if err != nil {
		t.Fatal(err)
	}
	operators := client.New("http://"+p.operators, "t")
	for end := time.Now().Add(ordinaryTimeout); ; time.Sleep(50 * time.Millisecond) {
		plan, err := operators.Plan(t.Context(), changes)
		if err == nil {
			_, err = operators.Confirm(t.Context(), plan)
		}
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// ordinaryBody is the body of an ordinary request: a job of one task.
var ordinaryBody = standin.JobBody(1, "ordinary")

// awaitOrdinary makes an ordinary request until it is answered with 200. Each try
// is the same request on a new connection.
func (p *target) awaitOrdinary(t *testing.T, when string) {
	var last error
	for end := time.Now().Add(ordinaryTimeout); time.Now().Before(end) && !p.hasEnded(); time.Sleep(20 * time.Millisecond) {
		if last = p.ordinary(t.Context()); last == nil {
			return
		}
	}
	t.Errorf("an ordinary request %s isn't answered: %v", when, last)
}

// ordinary makes one ordinary request.
func (p *target) ordinary(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if end, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(end)
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n", p.path(-1, 0), p.headers, len(ordinaryBody))
	if _, err := conn.Write(append([]byte(head), ordinaryBody...)); err != nil {
		return err
	}
	status, err := readAnswer(bufio.NewReader(conn))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// readAnswer reads a complete answer and returns its status.
func readAnswer(in *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, err
}
