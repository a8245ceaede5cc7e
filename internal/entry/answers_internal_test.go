package entry

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/waiting"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// TestAnswersAboutJobs checks what a client is told of jobs, by how old the table
// of its host is, whether the host or a candidate has one, and how the store
// answers. Each line of testdata/answers/cases.txt is a case.
//
// A number of waiting jobs or a state from a table of any age was told as the
// newest one while the store couldn't be read, and jobs whose records can't be
// read were told to be unknown.
func TestAnswersAboutJobs(t *testing.T) {
	scripttest.EachLine(t, "answers/cases.txt", func(f []string) {
		t.Run(strings.Join(f[:4], " "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playAnswer(t, f) })
		})
	})
}

// playAnswer plays one case.
func playAnswer(t *testing.T, f []string) {
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		if f[2] == "hangs" {
			time.Sleep(refreshWait) // a read goes on after its calls
		}
		cancel()
		synctest.Wait()
	}()
	time.Sleep(2 * time.Hour) // so that tables can be old
	table, age, mode := f[0], f[1], f[2]
	h := newAnswerHost(ctx, t, mode, f[0] == "damaged")
	switch table {
	case "own", "damaged":
		h.setAge(ctx, t, age)
	case "candidate", "late":
		candidate := newAnswerHost(ctx, t, mode, false)
		candidate.setAge(ctx, t, age)
		h.askThrough(t, candidate, table == "late")
	}
	question, name, _ := strings.Cut(f[3], ":")
	path, method := "/q/"+name, http.MethodGet
	if question == "cancel" {
		method = http.MethodDelete
	}
	rec := httptest.NewRecorder()
	newClientHandler(h.Host).ServeHTTP(rec, httptest.NewRequest(method, "http://jobs.example"+path, nil))
	if got := strconv.Itoa(rec.Code); got != f[4] {
		t.Fatalf("status %s, want %s: %s", got, f[4], rec.Body)
	}
	if rec.Code == http.StatusServiceUnavailable && rec.Header().Get("Retry-After") == "" {
		t.Error("a refusal without Retry-After")
	}
	if appends := h.accepting.tries(); question == "cancel" && name == "none" && (rec.Code != http.StatusServiceUnavailable) != (appends == 1) {
		t.Errorf("the cancelling of an unknown job is answered with %d after %d appends", rec.Code, appends)
	}
	if len(f) > 6 && strconv.Itoa(int(h.scripted.reads.Load())) != f[6] {
		t.Errorf("%d reads, want %s", h.scripted.reads.Load(), f[6])
	}
	var body struct {
		Pending *int
		State   string
	}
	if f[5] == "-" {
		return
	}
	if err := json.Unmarshal(rec.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	got := body.State
	if body.Pending != nil {
		got = strconv.Itoa(*body.Pending)
	}
	if got != f[5] {
		t.Errorf("answer %s, want %s", got, f[5])
	}
}

// answerHost is a host whose reads go to a scripted store.
type answerHost struct {
	*Host
	scripted *answerStore
	// accepting takes what the host appends.
	accepting *fixedStore
}

// newAnswerHost returns a host that holds the jobs w, r, d and x in a table that
// isn't loaded yet. If damaged is set, a record of the jobs b and s each can't be
// read.
func newAnswerHost(ctx context.Context, t *testing.T, mode string, damaged bool) answerHost {
	table := jobtable.New()
	must := func(r jobtable.Record, err error) jobtable.Record {
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	spec := func(j string) jobtable.Record {
		return must(table.SpecRecord(id.Job(j), job.Spec{Queue: "q"}))
	}
	summary := func(j string, o job.Outcome) jobtable.Record {
		return must(table.SummaryRecord(id.Job(j), jobtable.Summary{Outcome: o, Ended: 1}))
	}
	records := []jobtable.Record{spec("w"), spec("r"), summary("r", job.Open), spec("d"), summary("d", job.Completed), spec("x"), table.CancelRecord("x")}
	if damaged {
		records = append(records, jobtable.Record{Key: "spec/b", Value: []byte("?")}, spec("s"), jobtable.Record{Key: "summary/s", Value: []byte("?")})
	}
	store := &answerStore{mode: mode, records: append(records[:len(records):len(records)], spec("l"), spec("l2"), summary("r", job.Completed))}
	links := relay.NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
	t.Cleanup(links.Close)
	h := &Host{
		log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: "a#1", clock: newTestClock(), links: links,
		table: table, events: ring.New[event](eventCapacity), watchers: watchers{}, counts: waiting.New(), wake: make(chan struct{}, 1),
		store: platform.NewStore("store", &http.Client{Transport: store}), election: election.New(election.Member{Host: "a#1"}),
	}
	accepting := &fixedStore{status: http.StatusOK, body: `{"offset":0,"end":1}`}
	appends := platform.NewStore("store", &http.Client{Transport: accepting})
	h.writer = newWriter(appends, newStoreHealth(zap.NewNop()), "w", zap.NewNop(), h.metrics, 16*unit.MiB, newTestClock().Now)
	h.jobsPath = relay.New(jobsBase, relay.RouteJobs, &http.Client{Transport: jobQueryTransport{newClientHandler(h)}}, links, zap.NewNop())
	h.catalog.Store(catalog.New(catalog.Catalog{Version: 3, Queues: []catalog.Queue{{Name: "q", Host: "jobs.example", Prefix: "/q/", Anonymous: true}}}))
	h.table = jobtable.New()
	for i, r := range records {
		_, _ = h.table.Apply(r) // damaged ones are rejected
		h.table.Advance(id.Offset(i + 1))
	}
	go h.writer.run(ctx)
	go decideEach(ctx, h.events, h.now, func(unit.Instant) {})
	return answerHost{h, store, accepting}
}

// setAge marks the table as loaded, and as complete some time ago.
func (h answerHost) setAge(ctx context.Context, t *testing.T, age string) {
	_, ok := query(ctx, h.Host, func(now unit.Instant) bool {
		h.loaded, h.jobsReadAt = true, 0
		if age != "never" {
			ago, err := time.ParseDuration(age)
			if err != nil {
				t.Error(err)
			}
			h.jobsReadAt = now.Add(-ago)
		}
		return true
	})
	if !ok {
		t.Fatal("the host handles no events")
	}
}

// askThrough makes the host ask a candidate. If late is set, what the candidate
// sends takes 200 ms.
func (h answerHost) askThrough(t *testing.T, candidate answerHost, late bool) {
	mux := http.NewServeMux()
	mux.Handle(string(relay.RouteJobs), candidate.jobsPath.Handler())
	lis := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	s := &http.Server{Handler: mux}
	go func() { _ = s.Serve(lis) }()
	links := relay.NewLinks(func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		if late {
			server = &lateConn{server}
		}
		lis.conns <- server
		return client, nil
	}, zap.NewNop())
	t.Cleanup(func() {
		links.Close()
		_ = s.Close()
	})
	h.jobsPath = relay.New(jobsBase, relay.RouteJobs, &http.Client{Transport: jobQueryTransport{newClientHandler(h.Host)}}, links, zap.NewNop())
	h.jobHosts.order = []string{"candidate:1"}
}

// pipeListener accepts connections from a channel.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// lateConn is a connection on which each write takes 200 ms.
type lateConn struct{ net.Conn }

func (c *lateConn) Write(b []byte) (int, error) {
	time.Sleep(200 * time.Millisecond)
	return c.Conn.Write(b)
}

// answerStore is a store without a network whose log is read in a mode: it
// answers, it does so after 400 ms (slow) or 800 ms (slower), it answers one record at a time (pages)
// or none although there are more (stuck), it refuses, or it doesn't answer
// (hangs).
type answerStore struct {
	mode    string
	records []jobtable.Record
	reads   atomic.Int32
}

// RoundTrip implements http.RoundTripper.
func (s *answerStore) RoundTrip(req *http.Request) (*http.Response, error) {
	s.reads.Add(1)
	from, err := strconv.Atoi(req.URL.Query().Get("From"))
	if err != nil {
		return nil, fmt.Errorf("not a read: %w", err)
	}
	rest := s.records[min(from, len(s.records)):]
	status := http.StatusOK
	switch s.mode {
	case "pages":
		rest = rest[:min(1, len(rest))]
	case "stuck":
		rest = nil
	case "slow", "slower":
		select {
		case <-time.After(map[string]time.Duration{"slow": 400 * time.Millisecond, "slower": 800 * time.Millisecond}[s.mode]):
		case <-req.Context().Done():
			return nil, req.Context().Err()
		}
	case "refuses":
		status, rest = http.StatusServiceUnavailable, nil
	case "hangs":
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	b := binary.BigEndian.AppendUint64(nil, uint64(len(s.records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range rest {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.Key)+len(r.Value)))
		b = append(b, byte(len(r.Key)))
		b = append(b, r.Key...)
		b = append(b, r.Value...)
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(string(b))), Header: http.Header{}, Request: req}, nil
}

// TestTableLoadedAnew checks that a table that was dropped and loaded again isn't
// taken for as new as the one before. The snapshot that it comes from may be older.
func TestTableLoadedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		time.Sleep(time.Hour)
		h := newAnswerHost(ctx, t, "refuses", false)
		f := newClientHandler(h.Host)
		call := func() int {
			rec := httptest.NewRecorder()
			f.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "http://jobs.example/q/", nil))
			return rec.Code
		}
		h.setAge(ctx, t, "0s")
		if got := call(); got != http.StatusOK {
			t.Errorf("status %d before", got)
		}
		if _, ok := query(ctx, h.Host, func(now unit.Instant) bool {
			h.unloadJobs(now)
			h.loadJobs(now, h.scripted.records[:1], 1)
			return true
		}); !ok {
			t.Fatal("the host handles no events")
		}
		if got := call(); got != http.StatusServiceUnavailable {
			t.Errorf("status %d from a table that isn't known to be complete", got)
		}
	})
}
