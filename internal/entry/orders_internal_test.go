package entry

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// hangingWorkers takes orders by their path and worker, and answers none.
type hangingWorkers struct {
	mu sync.Mutex
	// under counts the orders under way by kind and by kind and worker.
	under map[string]int
	// released is closed to end the orders under way without an answer.
	released chan struct{}
}

// release ends the orders that are under way.
func (w *hangingWorkers) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.released)
	w.released = nil
}

// ends returns what is closed when the orders under way are released.
func (w *hangingWorkers) ends() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.released == nil {
		w.released = make(chan struct{})
	}
	return w.released
}

// RoundTrip implements http.RoundTripper.
func (w *hangingWorkers) RoundTrip(req *http.Request) (*http.Response, error) {
	w.count(req, 1)
	defer w.count(req, -1)
	select {
	case <-w.ends():
		return nil, errors.New("released")
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

func (w *hangingWorkers) count(req *http.Request, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.under[req.URL.Path] += n
	w.under[req.URL.Path+" "+req.URL.Host] += n
}

// at returns how many orders of a kind, or of a kind to a worker, are under way.
func (w *hangingWorkers) at(what string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.under[what]
}

// TestOrdersAreBounded checks that orders leave from a bounded number of goroutines.
//
// Symptom: a new owner on 0.4 of a core with 3,000 workers decided nothing for 0.75 s. Sequence: it
// has read the list of workers and renews all of them at once, each from a goroutine of its own, and
// the deciding goroutine gets its turn behind them. Cause: nothing bounded the orders under way but
// the number of workers and tasks. Figures: list read at 21.82 s, first decision at 22.57 s.
func TestOrdersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &hangingWorkers{under: map[string]int{}}
		o := newOwnerOf(t, workers)
		var orders dispatch.Orders
		for n := range 3000 {
			to := target(n)
			orders.Starts = append(orders.Starts, dispatch.Start{Target: to}, dispatch.Start{Target: to})
			orders.Renews = append(orders.Renews, dispatch.Renew{Target: to})
			orders.Stops = append(orders.Stops, dispatch.Stop{Target: to})
		}
		o.deliver(t.Context(), orders)
		synctest.Wait()
		for _, kind := range []string{"/run-start", "/hold", "/run-stop"} {
			if got := workers.at(kind); got != freshOrders {
				t.Errorf("%d orders %s left at once, want %d", got, kind, freshOrders)
			}
		}
		time.Sleep(7 * orderSettles)
		synctest.Wait()
		if got, most := workers.at("/run-start"), mostStarts; got > most || got <= freshOrders {
			t.Errorf("%d starts are under way to workers that hang, want at most %d and more than %d", got, most, freshOrders)
		}
		o.cancel()
	})
}

// TestNoOrderWaitsForOthers checks that a worker that hangs gets a renewal and a stop although many
// starts to it are under way, and that those to other workers don't wait for it either.
func TestNoOrderWaitsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &hangingWorkers{under: map[string]int{}}
		o := newOwnerOf(t, workers)
		var starts dispatch.Orders
		for i := range 200 {
			starts.Starts = append(starts.Starts, dispatch.Start{Target: target(0), Task: job.Task{Index: i}})
		}
		o.deliver(t.Context(), starts)
		synctest.Wait()
		o.deliver(t.Context(), dispatch.Orders{
			Starts: []dispatch.Start{{Target: target(1)}},
			Renews: []dispatch.Renew{{Target: target(0)}, {Target: target(1)}},
			Stops:  []dispatch.Stop{{Target: target(0)}, {Target: target(1)}},
		})
		synctest.Wait()
		if got := workers.at("/run-start worker-0"); got != startsEach {
			t.Errorf("%d starts are under way to a worker that hangs, want %d", got, startsEach)
		}
		for _, what := range []string{"/hold worker-0", "/run-stop worker-0", "/run-start worker-1", "/hold worker-1", "/run-stop worker-1"} {
			if workers.at(what) != 1 {
				t.Errorf("%s has not left", what)
			}
		}
		o.cancel()
	})
}

// TestStartsAreHeld checks that an order to start that has waited for its turn doesn't leave for a failure domain that was evacuated meanwhile, nor
// when the operator's records were read too long ago, while others leave.
//
// An order waits behind others to a worker that hangs for as long as the platform's client waits for each of them, 0.8 s. What was
// decided before an evacuation could so leave seconds after it.
func TestStartsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &hangingWorkers{under: map[string]int{}}
		o := newOwnerOf(t, workers)
		var orders dispatch.Orders
		for n, domain := range []id.Domain{"a", "b"} {
			for i := range startsEach + 1 {
				orders.Starts = append(orders.Starts, dispatch.Start{Target: target(n), Domain: domain, Task: job.Task{Index: i}})
			}
		}
		o.deliver(t.Context(), orders)
		synctest.Wait()
		o.rules.Store(&dispatch.StartRules{Evacuated: []id.Domain{"a"}, Until: math.MaxInt64})
		workers.release()
		synctest.Wait()
		for worker, want := range map[string]int{"worker-0": 0, "worker-1": 1} {
			if got := workers.at("/run-start " + worker); got != want {
				t.Errorf("%d starts are under way to %s, want %d", got, worker, want)
			}
		}
		o.rules.Store(&dispatch.StartRules{Until: o.host.now() - 1})
		o.deliver(t.Context(), dispatch.Orders{Starts: []dispatch.Start{{Target: target(2), Domain: "c"}}})
		synctest.Wait()
		if got := workers.at("/run-start worker-2"); got != 0 {
			t.Errorf("%d starts are under way by what was read too long ago", got)
		}
		o.cancel()
	})
}

// newOwnerOf returns an owner whose workers answer by a transport.
func newOwnerOf(t *testing.T, workers http.RoundTripper) *owner {
	h := &Host{
		log: zap.NewNop(), metrics: newMetrics(), events: ring.New[event](events), clock: newTestClock(),
		workers: platform.NewWorkers(&http.Client{Transport: workers}, zap.NewNop()),
	}
	boxes := newOutboxes(1024)
	t.Cleanup(boxes.close)
	o := &owner{
		host: h, boxes: boxes, cancel: boxes.close, listed: map[id.WorkerName]id.Worker{}, rejected: map[id.WorkerName]uint64{},
	}
	o.rules.Store(&dispatch.StartRules{Until: math.MaxInt64})
	return o
}

func target(n int) dispatch.Target {
	name := fmt.Sprintf("worker-%d", n)
	return dispatch.Target{Worker: id.Worker(name), Address: strings.ToLower(name)}
}
