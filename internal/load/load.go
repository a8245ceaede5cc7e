// Package load sends requests to entry hosts at a steady rate and compares the
// answers with what the backend servers ran.
//
// The load is open: requests leave when they are due, whether or not earlier ones
// were answered, and their latency counts from when they were due. So a host that
// stalls is not spared the requests of that time.
package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/internal/edge"
	"curlewsill.org/curlewsill/internal/standin/backendsvc"
)

// Bounds of a run and of its histogram, which counts microseconds.
const (
	maxFlying  = 20_000
	maxLatency = 10 * time.Minute
	digits     = 3
	// timeout bounds one request beyond what the host allows.
	timeout = time.Minute
)

// ErrTargets reports a run without targets or customers.
var ErrTargets = errors.New("load: no target, customer or rate")

// Run says what to send.
type Run struct {
	// Targets are the callers' addresses of entry hosts, as URLs. They take turns.
	Targets []string
	Service id.Service
	// Customers take turns.
	Customers []id.Customer
	// Rate is the number of requests a second, for Duration.
	Rate     float64
	Duration time.Duration
	// OnceShare of the requests are not to be repeated; half of those carry a key.
	OnceShare float64
	// Direct says that the targets are backend servers themselves, to compare with.
	Direct bool
	// Body is the size of a request's body in bytes.
	Body int
	// Name makes the tags of this run differ from those of others.
	Name string
	Seed uint64
}

// Report is the outcome of a run.
type Report struct {
	Sent  int `json:"sent"`
	Whole int `json:"whole"`
	// RefusedNotRun counts refusals that say that nothing ran.
	RefusedNotRun int `json:"refused_not_run"`
	Unknown       int `json:"unknown"`
	// Cut counts answers that broke off; Wrong those to another request or with
	// another body.
	Cut   int `json:"cut"`
	Wrong int `json:"wrong"`
	// RanTwice counts requests not to be repeated that ran more than once.
	RanTwice int `json:"ran_twice"`
	// NotRunButRan counts refusals as not run of requests that ran.
	NotRunButRan int `json:"not_run_but_ran"`
	// Repeated counts requests that may be repeated and ran more than once.
	Repeated int `json:"repeated"`
	// Overbooked counts requests that found no slot at a backend server.
	Overbooked int `json:"overbooked"`

	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// result is what became of one request.
type result int

const (
	whole result = iota
	notRun
	unknown
	cut
	wrong
)

// sent is one request with its result.
type sent struct {
	tag    string
	once   bool
	result result
}

// runner is a run under way.
type runner struct {
	Run
	http *http.Client
	body []byte
	sum  string

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	done    []sent
}

// Do carries the run out. Ledger returns what the backend servers ran; it may be nil.
func Do(ctx context.Context, r Run, ledger func(context.Context) (backendsvc.Ledger, error)) (Report, error) {
	if len(r.Targets) == 0 || len(r.Customers) == 0 || r.Rate <= 0 {
		return Report{}, ErrTargets
	}
	body := bytes.Repeat([]byte("x"), r.Body)
	x := &runner{
		Run: r, body: body, sum: strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16),
		http: &http.Client{Timeout: timeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: 1024, DisableCompression: true,
		}},
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), digits),
	}
	x.send(ctx)
	var l backendsvc.Ledger
	if ledger != nil {
		var err error
		if l, err = ledger(context.WithoutCancel(ctx)); err != nil {
			return Report{}, fmt.Errorf("load: ledger: %w", err)
		}
	}
	return x.report(l), nil
}

// send lets the requests leave when they are due, and waits for the answers.
func (x *runner) send(ctx context.Context) {
	rng := rand.New(rand.NewPCG(x.Seed, 1))
	slots := make(chan struct{}, maxFlying)
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	n := int(x.Rate * x.Duration.Seconds())
	for i := range n {
		due := began.Add(time.Duration(float64(i) / x.Rate * float64(time.Second)))
		if !until(ctx, due) {
			return
		}
		once := rng.Float64() < x.OnceShare
		key := once && rng.IntN(2) == 0
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			defer func() { <-slots }()
			x.one(ctx, i, due, once, key)
		})
	}
}

func until(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// one sends one request and notes what became of it.
func (x *runner) one(ctx context.Context, i int, due time.Time, once, key bool) {
	tag := x.Name + "-" + strconv.Itoa(i)
	res := x.exchange(ctx, i, tag, once, key)
	took := time.Since(due).Microseconds()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.done = append(x.done, sent{tag, once, res})
	_ = x.latency.RecordValue(min(max(took, 1), maxLatency.Microseconds()))
}

func (x *runner) exchange(ctx context.Context, i int, tag string, once, key bool) result {
	target := x.Targets[i%len(x.Targets)] + edge.Prefix + string(x.Service) + "/work"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(x.body))
	if err != nil {
		return unknown
	}
	req.Header.Set(edge.CustomerHeader, string(x.Customers[i%len(x.Customers)]))
	req.Header.Set(backendsvc.TagHeader, tag)
	if once {
		req.Header.Set(edge.OnceHeader, "true")
		// The client must not send it again by itself.
		req.GetBody = nil
	}
	if key {
		req.Header.Set(edge.KeyHeader, tag)
	}
	resp, err := x.http.Do(req)
	if err != nil {
		return unknown
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return x.judge(resp, body, err, tag)
}

// judge compares an answer with the request.
func (x *runner) judge(resp *http.Response, body []byte, err error, tag string) result {
	ran := route.Ran(resp.Header.Get(edge.RanHeader))
	if x.Direct && resp.StatusCode == http.StatusOK {
		ran = route.RanYes
	}
	switch {
	case err != nil:
		return cut
	case ran == route.RanNo:
		return notRun
	case ran != route.RanYes:
		return unknown
	case resp.Header.Get(backendsvc.TagHeader) != tag,
		resp.Header.Get(backendsvc.SumHeader) != x.sum,
		resp.StatusCode == http.StatusOK && !bytes.Equal(body, x.body):
		return wrong
	}
	return whole
}

// report adds the results up and compares them with the ledger.
func (x *runner) report(l backendsvc.Ledger) Report {
	const perMs = 1000
	out := Report{
		Sent: len(x.done), Overbooked: l.Overbooked,
		P50:  float64(x.latency.ValueAtQuantile(50)) / perMs,
		P99:  float64(x.latency.ValueAtQuantile(99)) / perMs,
		P999: float64(x.latency.ValueAtQuantile(99.9)) / perMs,
	}
	counts := map[result]*int{
		whole: &out.Whole, notRun: &out.RefusedNotRun, unknown: &out.Unknown, cut: &out.Cut, wrong: &out.Wrong,
	}
	for _, s := range x.done {
		*counts[s.result]++
		runs := l.Runs[s.tag]
		switch {
		case s.once && runs > 1:
			out.RanTwice++
		case runs > 1:
			out.Repeated++
		}
		if s.result == notRun && runs > 0 {
			out.NotRunButRan++
		}
	}
	return out
}
