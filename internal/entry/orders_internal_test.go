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
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/platform"
)

// hangingWorkers receives orders, counts them by path and worker, and answers
// none.
type hangingWorkers struct {
	mu sync.Mutex
	// inFlight counts the orders in flight by kind, and by kind and worker.
	inFlight map[string]int
	// released is closed to end the orders in flight without an answer.
	released chan struct{}
}

// release ends the orders in flight.
func (w *hangingWorkers) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.released)
	w.released = nil
}

// ends returns the channel that is closed when the orders in flight are
// released.
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
	w.inFlight[req.URL.Path] += n
	w.inFlight[req.URL.Path+" "+req.URL.Host] += n
}

// countInFlight returns how many orders of a kind, or of a kind to a worker,
// are in flight.
func (w *hangingWorkers) countInFlight(what string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight[what]
}

// TestOrdersAreBounded checks that a bounded number of goroutines sends orders.
//
// A new owner renews the leases of all workers as soon as it has read their
// list. With a goroutine for each renewal, the deciding goroutine on 0.4 of a
// core with 3,000 workers was not scheduled for 0.75 s.
func TestOrdersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &hangingWorkers{inFlight: map[string]int{}}
		o := newOwnerOf(t, workers)
		var orders dispatch.Orders
		for n := range 3000 {
			to := target(n)
			orders.Starts = append(orders.Starts, dispatch.Start{Target: to}, dispatch.Start{Target: to})
			orders.Renews = append(orders.Renews, dispatch.Renew{Target: to})
			orders.Stops = append(orders.Stops, dispatch.Stop{Target: to})
		}
		o.enqueueOrders(t.Context(), orders)
		synctest.Wait()
		for _, kind := range []string{"/run-start", "/hold", "/run-stop"} {
			if got := workers.countInFlight(kind); got != maxFreshOrders {
				t.Errorf("%d orders %s were sent at once, want %d", got, kind, maxFreshOrders)
			}
		}
		time.Sleep(7 * freshOrderAge)
		synctest.Wait()
		if got, most := workers.countInFlight("/run-start"), maxStarts; got > most || got <= maxFreshOrders {
			t.Errorf("%d starts are in flight to workers that hang, want at most %d and more than %d", got, most, maxFreshOrders)
		}
		o.cancel()
	})
}

// TestNoOrderWaitsForOthers checks that a worker that hangs gets a renewal and
// a stop although many starts to it are in flight, and that orders to other
// workers don't wait for it either.
func TestNoOrderWaitsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &hangingWorkers{inFlight: map[string]int{}}
		o := newOwnerOf(t, workers)
		var starts dispatch.Orders
		for i := range 200 {
			starts.Starts = append(starts.Starts, dispatch.Start{Target: target(0), Task: job.TaskID{Index: i}})
		}
		o.enqueueOrders(t.Context(), starts)
		synctest.Wait()
		o.enqueueOrders(t.Context(), dispatch.Orders{
			Starts: []dispatch.Start{{Target: target(1)}},
			Renews: []dispatch.Renew{{Target: target(0)}, {Target: target(1)}},
			Stops:  []dispatch.Stop{{Target: target(0)}, {Target: target(1)}},
		})
		synctest.Wait()
		if got := workers.countInFlight("/run-start worker-0"); got != startsPerWorker {
			t.Errorf("%d starts are in flight to a worker that hangs, want %d", got, startsPerWorker)
		}
		for _, what := range []string{"/hold worker-0", "/run-stop worker-0", "/run-start worker-1", "/hold worker-1", "/run-stop worker-1"} {
			if workers.countInFlight(what) != 1 {
				t.Errorf("%s was not sent", what)
			}
		}
		o.cancel()
	})
}

// TestStartsAreHeld checks that a queued start order is not sent if its failure
// domain has been evacuated meanwhile, or if the operator's records were read
// too long ago, while other orders are sent.
//
// An order to a worker that hangs waits behind earlier orders to it. Each of
// those takes 0.8 s, the timeout of the platform's client. Without the check,
// starts decided before an evacuation would be sent seconds after it.
func TestStartsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &hangingWorkers{inFlight: map[string]int{}}
		o := newOwnerOf(t, workers)
		var orders dispatch.Orders
		for n, domain := range []id.Domain{"a", "b"} {
			for i := range startsPerWorker + 1 {
				orders.Starts = append(orders.Starts, dispatch.Start{Target: target(n), Domain: domain, Task: job.TaskID{Index: i}})
			}
		}
		o.enqueueOrders(t.Context(), orders)
		synctest.Wait()
		o.startRules.Store(&dispatch.StartRules{Evacuated: []id.Domain{"a"}, ValidUntil: math.MaxInt64})
		workers.release()
		synctest.Wait()
		for worker, want := range map[string]int{"worker-0": 0, "worker-1": 1} {
			if got := workers.countInFlight("/run-start " + worker); got != want {
				t.Errorf("%d starts are in flight to %s, want %d", got, worker, want)
			}
		}
		o.startRules.Store(&dispatch.StartRules{ValidUntil: o.host.now() - 1})
		o.enqueueOrders(t.Context(), dispatch.Orders{Starts: []dispatch.Start{{Target: target(2), Domain: "c"}}})
		synctest.Wait()
		if got := workers.countInFlight("/run-start worker-2"); got != 0 {
			t.Errorf("%d starts were sent although the operator's records were read too long ago", got)
		}
		o.cancel()
	})
}

// TestStartsOfCancelledJobsAreHeld checks that a queued start order is sent only as
// long as its job wasn't cancelled too long before.
//
// An order waits behind earlier orders to a worker that hangs. It guards against
// tasks that start more than 3 s after the cancellation of their job was
// acknowledged, because the order was decided before that.
func TestStartsOfCancelledJobsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &hangingWorkers{inFlight: map[string]int{}}
		o := newOwnerOf(t, workers)
		deadline := o.host.now().Add(500 * time.Millisecond)
		var orders dispatch.Orders
		for i := range startsPerWorker {
			orders.Starts = append(orders.Starts, dispatch.Start{Target: target(0), Task: job.TaskID{Index: i}, SendBefore: deadline})
		}
		for i, before := range []unit.Instant{deadline, deadline.Add(time.Second)} {
			orders.Starts = append(orders.Starts, dispatch.Start{Target: target(0), Task: job.TaskID{Step: 1, Index: i}, SendBefore: before})
		}
		o.enqueueOrders(t.Context(), orders)
		time.Sleep(time.Second) // the first orders have got no answer in time
		synctest.Wait()
		if got := workers.countInFlight("/run-start worker-0"); got != 1 {
			t.Errorf("%d starts are in flight, want the one that may still be sent", got)
		}
		o.cancel()
	})
}

// newOwnerOf returns an owner whose calls to workers use the given transport.
func newOwnerOf(t *testing.T, workers http.RoundTripper) *owner {
	h := &Host{
		log: zap.NewNop(), metrics: newMetrics(), events: ring.New[event](eventCapacity), clock: newTestClock(),
		workers: platform.NewWorkers(&http.Client{Transport: workers}, zap.NewNop()),
	}
	boxes := newOutboxes(1024)
	t.Cleanup(boxes.close)
	o := &owner{
		host: h, boxes: boxes, cancel: boxes.close, listed: map[id.WorkerName]id.Worker{}, rejected: map[id.WorkerName]uint64{},
	}
	o.startRules.Store(&dispatch.StartRules{ValidUntil: math.MaxInt64})
	return o
}

func target(n int) dispatch.Target {
	name := fmt.Sprintf("worker-%d", n)
	return dispatch.Target{Worker: id.Worker(name), Address: strings.ToLower(name)}
}
