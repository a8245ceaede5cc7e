package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/tombstone"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/waiting"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
	"curlewsill.org/curlewsill/platform/standin"
)

// TestCancelledBeforeStored plays the scripts of testdata/cancelled: hosts take
// submissions and cancellations of the same job, in orders that real processes can't
// be made to follow. All hosts write to one store, each over a path of its own.
//
// It guards against a job that starts after its cancelling was acknowledged, since
// its submission reached the log later, and against one that is accepted and never
// runs, since it was cancelled before. A line is a command:
//
//	host NAME [none]          starts a host, whose table is complete now; none: without
//	                          a table
//	path HOST HOW [DURATION]  how the store answers the host from now on: ok; hang, until
//	                          the host gives up, and nothing is done; refuse; lose: the
//	                          call is carried out, its answer lost; late: appends are
//	                          carried out after the duration and not answered; noreads:
//	                          only reads hang; norecords: only appends hang;
//	                          slowappend, slowreads: appends or reads wait for the
//	                          duration before they are carried out
//	submit HOST JOB STATUS [CUSTOMER]
//	cancel HOST JOB STATUS [CUSTOMER]
//	                          a client's call, and the status that it must get
//	begin CALL                the same in the background; "ended" waits for its status
//	ended
//	read HOST                 the host reads the log to its end
//	expire                    all tombstones expire, as if by an owner
//	fill HOST                 the host's table has as many tombstones as there may be
//	wait DURATION
//	runs JOB BOOL             whether an owner may start the job, by the log, read in its
//	                          order, and by the newest record of each key
//	records PREFIX N          the number of keys that begin so
func TestCancelledBeforeStored(t *testing.T) {
	scripttest.EachIn(t, "cancelled", func(t *testing.T, text string) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &cancelScript{t: t, ctx: ctx, store: standin.NewStore(), hosts: map[string]*cancelHost{}, ended: make(chan string, 8)}
			for i, line := range strings.Split(text, "\n") {
				if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
					s.line = i + 1
					s.do(f)
				}
			}
			time.Sleep(time.Minute) // calls to the store end
			cancel()
			synctest.Wait()
		})
	})
}

// cancelScript plays one script.
type cancelScript struct {
	t     *testing.T
	ctx   context.Context
	store *standin.Store
	hosts map[string]*cancelHost
	// ended receives what was wrong with each call in the background, or "".
	ended chan string
	line  int
}

// cancelHost is a host and its path to the store.
type cancelHost struct {
	*Host
	handler *clientHandler
	path    *scriptedPath
}

// scriptedPath is a host's path to a store without a network.
type scriptedPath struct {
	store *standin.Store
	mode  atomic.Pointer[pathMode]
}

// pathMode is how the store answers: at once for nil.
type pathMode struct {
	how   string
	after time.Duration
}

var errPath = errors.New("the connection is lost")

// RoundTrip implements http.RoundTripper.
func (p *scriptedPath) RoundTrip(req *http.Request) (*http.Response, error) {
	body := []byte(nil)
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return nil, err
		}
	}
	mode := pathMode{how: "ok"}
	if m := p.mode.Load(); m != nil {
		mode = *m
	}
	carryOut := func() *http.Response {
		rec := httptest.NewRecorder()
		p.store.ServeHTTP(rec, httptest.NewRequest(req.Method, req.URL.String(), bytes.NewReader(body)))
		return rec.Result()
	}
	isAppend := req.URL.Path == "/log-append"
	switch {
	case mode.how == "hang", mode.how == "noreads" && !isAppend, mode.how == "norecords" && isAppend:
		<-req.Context().Done()
		return nil, req.Context().Err()
	case mode.how == "refuse":
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Request: req}, nil
	case mode.how == "late" && isAppend:
		time.AfterFunc(mode.after, func() { carryOut() })
		return nil, errPath
	case mode.how == "lose" && isAppend:
		carryOut()
		return nil, errPath
	}
	if mode.how == "slowappend" && isAppend || mode.how == "slowreads" && !isAppend {
		time.Sleep(mode.after)
	}
	time.Sleep(4 * time.Millisecond)
	return carryOut(), nil
}

// addHost starts a host.
func (s *cancelScript) addHost(name string, loaded bool) {
	path := &scriptedPath{store: s.store}
	links := relay.NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
	s.t.Cleanup(links.Close)
	h := &Host{
		log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: id.Host(name), clock: newTestClock(), links: links,
		table: jobtable.New(), events: ring.New[event](eventCapacity), watchers: watchers{}, counts: waiting.New(), wake: make(chan struct{}, 1),
		store: platform.NewStore("store", &http.Client{Transport: path}), election: election.New(election.Member{Host: id.Host(name)}),
	}
	h.writer = newWriter(h.store, h.health, name, h.log, h.metrics, 16*unit.MiB, h.now)
	h.jobsPath = relay.New(jobsBase, relay.RouteJobs, &http.Client{Transport: jobQueryTransport{newClientHandler(h)}}, links, h.log)
	h.catalog.Store(catalog.New(catalog.Catalog{
		Version: 1,
		Queues: []catalog.Queue{
			{Name: "q", Host: "jobs.example", Prefix: "/q/"}, {Name: "open", Host: "jobs.example", Prefix: "/open/", Anonymous: true},
		},
		Customers: []catalog.Customer{{Name: "c", Keys: []string{"c"}}, {Name: "d", Keys: []string{"d"}}},
	}))
	h.loaded = loaded
	go h.writer.run(s.ctx)
	go decideEach(s.ctx, h.events, h.now, func(unit.Instant) {})
	s.hosts[name] = &cancelHost{Host: h, handler: newClientHandler(h), path: path}
	if loaded {
		s.read(name)
	}
}

// read brings a host's table up to date.
func (s *cancelScript) read(name string) {
	s.hosts[name].health.begin()(nil) // as a poll of the group does
	if got := s.hosts[name].catchUp(s.ctx); got != upToDate {
		s.t.Errorf("line %d: the table of %s is not up to date: %v", s.line, name, got)
	}
}

// call makes a client's call and returns what is wrong with the answer, or "".
func (s *cancelScript) call(f []string) string {
	method, body := http.MethodDelete, []byte(nil)
	if f[0] == "submit" {
		method, body = http.MethodPost, standin.StepsBody("short", []standin.Step{{Count: 1}})
	}
	customer := "c"
	if len(f) > 4 {
		customer = f[4]
	}
	url := "http://jobs.example/q/" + f[2]
	if customer == "anybody" {
		url, customer = "http://jobs.example/open/"+f[2], ""
	}
	req := httptest.NewRequest(method, url, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+customer)
	rec := httptest.NewRecorder()
	s.hosts[f[1]].handler.ServeHTTP(rec, req)
	switch {
	case strconv.Itoa(rec.Code) != f[3]:
		return strings.Join(f, " ") + ": status " + strconv.Itoa(rec.Code) + " " + rec.Body.String()
	case rec.Code == http.StatusServiceUnavailable && rec.Header().Get("Retry-After") == "":
		return strings.Join(f, " ") + ": a refusal without Retry-After"
	case rec.Code == http.StatusServiceUnavailable && strings.Contains(rec.Body.String(), "was cancelled") && len(rec.Header().Get("Retry-After")) < 2:
		return strings.Join(f, " ") + ": a client is to come back at once, and is rejected again"
	}
	return ""
}

func (s *cancelScript) do(f []string) {
	switch f[0] {
	case "host":
		s.addHost(f[1], len(f) == 2)
	case "path":
		m := pathMode{how: f[2]}
		if len(f) > 3 {
			m.after = s.duration(f[3])
		}
		s.hosts[f[1]].path.mode.Store(&m)
	case "submit", "cancel":
		s.report(s.call(f))
	case "begin":
		go func() { s.ended <- s.call(f[1:]) }()
		time.Sleep(time.Millisecond)
	case "ended":
		s.report(<-s.ended)
	case "read":
		s.read(f[1])
	case "expire":
		s.expire()
	case "fill":
		s.fill(s.hosts[f[1]].Host)
	case "wait":
		time.Sleep(s.duration(f[1]))
	case "runs":
		s.checkRuns(id.Job(f[1]), f[2] == "true")
	case "records":
		if got := s.keys(f[1]); strconv.Itoa(got) != f[2] {
			s.report(strings.Join(f, " ") + ": " + strconv.Itoa(got))
		}
	default:
		s.t.Fatalf("line %d: unknown command %s", s.line, f[0])
	}
}

// expire writes the end of each tombstone of the log.
func (s *cancelScript) expire() {
	table := jobtable.New()
	for _, r := range s.newest() {
		if _, err := table.Apply(r); err != nil {
			s.t.Errorf("line %d: %v", s.line, err)
		}
	}
	table.Tombstones().Each(func(j id.Job, customer id.Customer, written unit.Instant, _ bool) {
		r, err := table.TombstoneRecord(j, jobtable.Tombstone{Customer: customer, Written: written, Expired: true})
		if err != nil {
			s.t.Fatal(err)
		}
		s.store.Put(string(platform.TopicJobs), r.Key, r.Value)
	})
}

// fill gives a host's table as many tombstones as there may be.
func (s *cancelScript) fill(h *Host) {
	if _, ok := query(s.ctx, h, func(unit.Instant) bool {
		for i := range tombstone.Max {
			h.table.Tombstones().Put(id.Job("other-"+strconv.Itoa(i)), "c", unit.At(time.Now()))
		}
		return true
	}); !ok {
		s.t.Fatalf("line %d: the host handles no events", s.line)
	}
}

func (s *cancelScript) report(problem string) {
	if problem != "" {
		s.t.Errorf("line %d: %s", s.line, problem)
	}
}

func (s *cancelScript) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return d
}

// keys returns the number of keys of the job log that begin with a prefix.
func (s *cancelScript) keys(prefix string) int {
	n := 0
	for _, r := range s.newest() {
		if strings.HasPrefix(r.Key, prefix) {
			n++
		}
	}
	return n
}

// newest returns the newest record of each key of the job log.
func (s *cancelScript) newest() []jobtable.Record {
	store := platform.NewStore("store", &http.Client{Transport: &scriptedPath{store: s.store}})
	recs, _, err := newSnapshot(store, platform.TopicJobs).read(s.ctx)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return recs
}

// checkRuns checks whether the tables of an owner that has followed the log, and of
// one that loads it, have a job that may run.
func (s *cancelScript) checkRuns(j id.Job, want bool) {
	store := platform.NewStore("store", &http.Client{Transport: &scriptedPath{store: s.store}})
	page, err := store.Read(s.ctx, platform.TopicJobs, 0, 0)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	for how, recs := range map[string][]jobtable.Record{"in order": page.Records, "newest": s.newest()} {
		table := jobtable.New()
		for _, r := range recs {
			if _, err := table.Apply(r); err != nil {
				s.t.Errorf("line %d: %v", s.line, err)
			}
		}
		e := table.Get(j)
		if got := e != nil && e.Spec != nil && !e.Cancelled && !e.Ended(); got != want {
			s.t.Errorf("line %d: the job %s may run by the log read %s: %t, want %t", s.line, j, how, got, want)
		}
	}
}
