// Package load sends requests to entry hosts at a steady rate and compares the
// responses with what the backend servers ran.
//
// The load is open-loop: each request is sent when it is due, whether or not earlier
// ones have been answered, and its latency is measured from its due time. So the
// latencies include the time that requests spend waiting on a stalled host.
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

// Bounds of a run and of its latency histogram, which counts microseconds.
const (
	maxInFlight       = 20_000
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	// timeout bounds one request, in addition to the host's own time limits.
	timeout = time.Minute
)

// ErrTargets reports a run without targets, customers or a rate.
var ErrTargets = errors.New("load: no target, customer or rate")

// Config is the configuration of a load run.
type Config struct {
	// Targets are the URLs of entry hosts for callers, used in rotation.
	Targets []string
	Service id.Service
	// Customers are used in rotation.
	Customers []id.Customer
	// Rate is the number of requests per second, for Duration.
	Rate     float64
	Duration time.Duration
	// OnceShare is the fraction of requests that must run at most once. Half of these
	// carry an idempotency key.
	OnceShare float64
	// Direct says that the targets are backend servers instead of entry hosts, for
	// comparison.
	Direct bool
	// Body is the size of a request's body in bytes.
	Body int
	// Name is the prefix of the requests' tags and distinguishes this run from others.
	Name string
	Seed uint64
}

// Report is the result of a run.
type Report struct {
	Sent     int `json:"sent"`
	Complete int `json:"whole"`
	// RefusedNotRun counts the refusals whose response says that the request didn't
	// run.
	RefusedNotRun int `json:"refused_not_run"`
	Unknown       int `json:"unknown"`
	// Incomplete counts incomplete responses. Wrong counts responses that belong to
	// another request or have an unexpected body.
	Incomplete int `json:"cut"`
	Wrong      int `json:"wrong"`
	// RanTwice counts requests that ran more than once although they must run at most
	// once.
	RanTwice int `json:"ran_twice"`
	// NotRunButRan counts requests that ran although the response says that they
	// didn't.
	NotRunButRan int `json:"not_run_but_ran"`
	// Repeated counts requests that ran more than once and were allowed to.
	Repeated int `json:"repeated"`
	// Overbooked counts requests that found no free slot at a backend server.
	Overbooked int `json:"overbooked"`

	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// result is the outcome of one request.
type result int

const (
	complete result = iota
	notRun
	unknown
	incomplete
	wrong
)

// sentRequest is a request that was sent, with its result.
type sentRequest struct {
	tag    string
	once   bool
	result result
}

// runner is the state of a run in progress.
type runner struct {
	Config
	http *http.Client
	body []byte
	sum  string

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	sent    []sentRequest
}

// Do executes the run. After the last response it calls ledger for what the backend
// servers ran, to compare the responses with it. If ledger is nil, Do compares nothing.
func Do(ctx context.Context, r Config, ledger func(context.Context) (backendsvc.Ledger, error)) (Report, error) {
	if len(r.Targets) == 0 || len(r.Customers) == 0 || r.Rate <= 0 {
		return Report{}, ErrTargets
	}
	body := bytes.Repeat([]byte("x"), r.Body)
	x := &runner{
		Config: r, body: body, sum: strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16),
		http: &http.Client{Timeout: timeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: 1024, DisableCompression: true,
		}},
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
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

// send sends each request when it is due and waits for the responses.
func (x *runner) send(ctx context.Context) {
	rng := rand.New(rand.NewPCG(x.Seed, 1))
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	n := int(x.Rate * x.Duration.Seconds())
	for i := range n {
		due := began.Add(time.Duration(float64(i) / x.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
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
			x.sendOne(ctx, i, due, once, key)
		})
	}
}

// sleepUntil waits until t. It reports false if ctx is done first.
func sleepUntil(ctx context.Context, t time.Time) bool {
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

// sendOne sends one request and records its result and latency.
func (x *runner) sendOne(ctx context.Context, i int, due time.Time, once, key bool) {
	tag := x.Name + "-" + strconv.Itoa(i)
	res := x.exchange(ctx, i, tag, once, key)
	took := time.Since(due).Microseconds()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = append(x.sent, sentRequest{tag, once, res})
	_ = x.latency.RecordValue(min(max(took, 1), maxLatency.Microseconds()))
}

// exchange sends request i and classifies its response. A request without a response
// is unknown.
func (x *runner) exchange(ctx context.Context, i int, tag string, once, key bool) result {
	target := x.Targets[i%len(x.Targets)] + edge.ServicePathPrefix + string(x.Service) + "/work"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(x.body))
	if err != nil {
		return unknown
	}
	req.Header.Set(edge.CustomerHeader, string(x.Customers[i%len(x.Customers)]))
	req.Header.Set(backendsvc.TagHeader, tag)
	if once {
		req.Header.Set(edge.OnceHeader, "true")
		// The HTTP client must not retry the request by itself.
		req.GetBody = nil
	}
	if key {
		req.Header.Set(edge.IdempotencyKeyHeader, tag)
	}
	resp, err := x.http.Do(req)
	if err != nil {
		return unknown
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return x.classify(resp, body, err, tag)
}

// classify compares a response with the request.
func (x *runner) classify(resp *http.Response, body []byte, err error, tag string) result {
	ran := route.Ran(resp.Header.Get(edge.RanHeader))
	if x.Direct && resp.StatusCode == http.StatusOK {
		ran = route.RanYes
	}
	switch {
	case err != nil:
		return incomplete
	case ran == route.RanNo:
		return notRun
	case ran != route.RanYes:
		return unknown
	case resp.Header.Get(backendsvc.TagHeader) != tag,
		resp.Header.Get(backendsvc.SumHeader) != x.sum,
		resp.StatusCode == http.StatusOK && !bytes.Equal(body, x.body):
		return wrong
	}
	return complete
}

// report sums up the results and compares them with the ledger.
func (x *runner) report(l backendsvc.Ledger) Report {
	const perMs = 1000
	out := Report{
		Sent: len(x.sent), Overbooked: l.Overbooked,
		P50:  float64(x.latency.ValueAtQuantile(50)) / perMs,
		P99:  float64(x.latency.ValueAtQuantile(99)) / perMs,
		P999: float64(x.latency.ValueAtQuantile(99.9)) / perMs,
	}
	counts := map[result]*int{
		complete: &out.Complete, notRun: &out.RefusedNotRun, unknown: &out.Unknown, incomplete: &out.Incomplete, wrong: &out.Wrong,
	}
	for _, s := range x.sent {
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
