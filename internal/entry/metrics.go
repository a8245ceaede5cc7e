package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"curlewsill.org/curlewsill/internal/wslink"
)

// buckets are those of all latency histograms, in seconds.
var buckets = []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// metrics are the host's counters and latencies.
type metrics struct {
	registry *prometheus.Registry
	// owning is set while this host is the owner.
	owning atomic.Bool
	// inPlace is how many runs take room on workers, as the owner sees it.
	inPlace   atomic.Int64
	takeovers prometheus.Counter
	decisions *prometheus.CounterVec
	faults    prometheus.Counter
	// rejected counts the entries of the list of workers that were left out.
	rejected prometheus.Counter
	// evacuated is how many failure domains are evacuated; evacuationsRejected counts records about them that were left out.
	evacuated           atomic.Int64
	evacuationsRejected prometheus.Counter
	// suspensions counts how often the machine was suspended.
	suspensions prometheus.Counter
	gathered    prometheus.Counter
	// heard counts the owner's answers to this host's questions.
	heard    prometheus.Counter
	requests *prometheus.HistogramVec
	store    *prometheus.HistogramVec
	orders   *prometheus.HistogramVec
	// ordersDropped counts orders for which there was no room to wait.
	ordersDropped prometheus.Counter
	// deadFound counts connections found dead, suspects those that were closed with them.
	deadFound, suspects *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.takeovers = counter("curlewsill_takeovers_total", "Times that this host became the owner.")
	m.decisions = counters("curlewsill_decisions_total", "Decisions of the owner by event.", "event")
	m.faults = counter("curlewsill_faults_total", "Invariants found violated.")
	m.rejected = counter("curlewsill_listings_rejected_total", "Entries of the list of workers that no worker has written, or that were damaged.")
	m.evacuationsRejected = counter("curlewsill_evacuations_rejected_total", "Operators' records on evacuations that were not understood.")
	evacuated := gauge("curlewsill_evacuated_domains", "Failure domains that are evacuated, as this host has read.",
		func() float64 { return float64(m.evacuated.Load()) })
	m.suspensions = counter("curlewsill_suspensions_total", "Times that this machine was suspended.")
	m.requests = histogram("curlewsill_request_seconds", "Clients' calls by method and status.", "method", "status")
	m.store = histogram("curlewsill_store_seconds", "Calls to the store by kind and outcome.", "call", "outcome")
	m.orders = histogram("curlewsill_order_seconds", "Orders to workers by kind and verdict.", "order", "verdict")
	owning := gauge("curlewsill_owner", "1 if this host is the owner.", func() float64 {
		if m.owning.Load() {
			return 1
		}
		return 0
	})
	inPlace := gauge("curlewsill_runs", "Runs that take room on workers, as the owner sees it; 0 on the other hosts.",
		func() float64 { return float64(m.inPlace.Load()) })
	m.gathered = counter("curlewsill_gathered_records_total", "Records of other hosts that this one appended for them.")
	m.deadFound = counters("curlewsill_connections_dead_total",
		"Connections found dead by a call without an answer, and whether it was the first there.", "to", "first")
	m.suspects = counters("curlewsill_connections_suspect_total", "Idle connections closed because another one to the same address was found dead.", "to")
	m.heard = counter("curlewsill_owner_answers_total", "Answers of the owner to this host's questions whether it lives.")
	m.ordersDropped = counter("curlewsill_orders_dropped_total", "Orders to workers for which there was no room to wait.")
	m.registry.MustRegister(m.deadFound, m.suspects, m.gathered, m.heard, m.ordersDropped, m.takeovers, m.faults, m.rejected, m.suspensions, m.decisions,
		m.requests, m.store, m.orders, owning, inPlace, m.evacuationsRejected, evacuated)
	return m
}

// watchLinks adds the figures of the connections between hosts.
func (m *metrics) watchLinks(l *wslink.Links) {
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "curlewsill_links_found_dead_total", Help: "Connections to and from other hosts that ended because nothing came from the peer.",
		}, func() float64 { return float64(l.Silent()) }),
		gauge("curlewsill_links_open", "Open connections to and from other hosts.", func() float64 { return float64(l.Open()) }),
	)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func gauge(name, help string, now func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, now)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// storeCall counts a call to the store and how long it took.
func (m *metrics) storeCall(call string, began time.Time, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.store.WithLabelValues(call, outcome).Observe(time.Since(began).Seconds())
}

// order counts an order to a worker and how long it took.
func (m *metrics) order(kind string, began time.Time, verdict string) {
	m.orders.WithLabelValues(kind, verdict).Observe(time.Since(began).Seconds())
}
