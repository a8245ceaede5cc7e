package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/intake"
	"curlewsill.org/curlewsill/internal/wslink"
)

// buckets are the bucket bounds of all latency histograms, in seconds.
var buckets = []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// metrics holds the host's counters, gauges and latency histograms.
type metrics struct {
	registry *prometheus.Registry
	// owning is set while this host is the owner.
	owning atomic.Bool
	// placedRuns is the number of runs that occupy room on workers, as known to
	// the owner.
	placedRuns atomic.Int64
	// speedClasses is the number of workers in each speed class, as known to the
	// owner.
	speedClasses [speed.Classes]atomic.Int64
	takeovers    prometheus.Counter
	decisions    *prometheus.CounterVec
	faults       prometheus.Counter
	// rejectedListings counts the rejected entries of the list of workers.
	rejectedListings prometheus.Counter
	// evacuated is the number of evacuated failure domains. evacuationsRejected
	// counts the rejected records about evacuations.
	evacuated           atomic.Int64
	evacuationsRejected prometheus.Counter
	// tombstones is the number of tombstones in this host's table.
	tombstones atomic.Int64
	// suspensions counts how often the machine was suspended.
	suspensions     prometheus.Counter
	gatheredRecords prometheus.Counter
	// ownerAnswers counts the owner's answers to this host's liveness probes.
	ownerAnswers prometheus.Counter
	requests     *prometheus.HistogramVec
	// answerAge is how old the tables were from which callers were answered about
	// jobs, and answersRefused counts the answers that were refused.
	answerAge      *prometheus.HistogramVec
	answersRefused *prometheus.CounterVec
	store          *prometheus.HistogramVec
	orders         *prometheus.HistogramVec
	// ordersDropped counts the orders to workers that were dropped because the
	// queue for orders of their kind was full.
	ordersDropped prometheus.Counter
	// deadConnections counts connections found dead. suspects counts the idle
	// connections to the same address that were closed with them.
	deadConnections, suspectConnections *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.takeovers = counter("curlewsill_takeovers_total", "Times that this host became the owner.")
	m.decisions = counters("curlewsill_decisions_total", "Decisions of the owner by event.", "event")
	m.faults = counter("curlewsill_faults_total", "Violations of invariants that were detected.")
	m.rejectedListings = counter("curlewsill_listings_rejected_total", "Rejected entries of the list of workers: not written by a worker, or damaged.")
	m.evacuationsRejected = counter("curlewsill_evacuations_rejected_total", "Operators' records about evacuations that were rejected as unreadable.")
	evacuated := gauge("curlewsill_evacuated_domains", "Evacuated failure domains, as known to this host.",
		func() float64 { return float64(m.evacuated.Load()) })
	tombstones := gauge("curlewsill_tombstones", "Jobs that were cancelled before the log had them, as known to this host.",
		func() float64 { return float64(m.tombstones.Load()) })
	m.suspensions = counter("curlewsill_suspensions_total", "Times that this machine was suspended.")
	m.requests = histogram("curlewsill_request_seconds", "Clients' calls by method and status.", "method", "status")
	m.answerAge = histogram("curlewsill_answer_age_seconds",
		"Age of the tables from which clients were answered about jobs, by what was told and whose table.", "about", "source")
	m.answersRefused = counters("curlewsill_answers_refused_total",
		"Answers about jobs that were refused, and why the table was not brought up to date.", "about", "stale")
	m.store = histogram("curlewsill_store_seconds", "Calls to the store by kind and outcome.", "call", "outcome")
	m.orders = histogram("curlewsill_order_seconds", "Orders to workers by kind and verdict.", "order", "verdict")
	owning := gauge("curlewsill_owner", "1 if this host is the owner.", func() float64 {
		if m.owning.Load() {
			return 1
		}
		return 0
	})
	placedRuns := gauge("curlewsill_runs", "Runs that occupy room on workers, as known to the owner; 0 on the other hosts.",
		func() float64 { return float64(m.placedRuns.Load()) })
	m.registerSpeedClasses()
	m.gatheredRecords = counter("curlewsill_gathered_records_total", "Records that this host was asked to append to the store for other hosts.")
	m.deadConnections = counters("curlewsill_connections_dead_total",
		"Connections found dead because a call got no answer, and whether it was the first call on the connection.", "to", "first")
	m.suspectConnections = counters("curlewsill_connections_suspect_total",
		"Idle connections closed because another one to the same address was found dead.", "to")
	m.ownerAnswers = counter("curlewsill_owner_answers_total", "Answers of the owner to this host's liveness probes.")
	m.ordersDropped = counter("curlewsill_orders_dropped_total", "Orders to workers that were dropped because the queue was full.")
	m.registry.MustRegister(m.deadConnections, m.suspectConnections, m.gatheredRecords, m.ownerAnswers, m.ordersDropped, m.takeovers, m.faults,
		m.rejectedListings, m.suspensions, m.decisions, m.requests, m.answerAge, m.answersRefused,
		m.store, m.orders, owning, placedRuns, m.evacuationsRejected, evacuated, tombstones)
	return m
}

// registerLinks registers the metrics of the connections between hosts.
func (m *metrics) registerLinks(l *wslink.Links) {
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "curlewsill_links_found_dead_total", Help: "Connections to and from other hosts that were closed because the peer sent nothing.",
		}, func() float64 { return float64(l.FoundDead()) }),
		gauge("curlewsill_links_open", "Open connections to and from other hosts.", func() float64 { return float64(l.Open()) }),
	)
}

// registerIntakes registers the metrics of what clients hold, by listener.
func (m *metrics) registerIntakes(intakes map[string]*intake.Intake) {
	for listener, i := range intakes {
		m.registry.MustRegister(i.Collectors(listener)...)
	}
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

// registerSpeedClasses registers a gauge for each speed class of workers.
func (m *metrics) registerSpeedClasses() {
	for class := range speed.Classes {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "curlewsill_worker_speed_workers", Help: "Listed workers by speed class, as known to the owner; 0 on the other hosts.",
			ConstLabels: prometheus.Labels{"class": class.String()},
		}, func() float64 { return float64(m.speedClasses[class].Load()) }))
	}
}

// setSpeedClasses sets the number of workers in each speed class.
func (m *metrics) setSpeedClasses(n [speed.Classes]int) {
	for class := range n {
		m.speedClasses[class].Store(int64(n[class]))
	}
}

// storeCall records the outcome and the duration of a call to the store.
func (m *metrics) storeCall(call string, began time.Time, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.store.WithLabelValues(call, outcome).Observe(time.Since(began).Seconds())
}

// answer records from how old a table a client was answered about jobs, or that
// the answer was refused.
func (m *metrics) answer(rep reply, now func() unit.Instant) {
	if rep.about == "" {
		return
	}
	if rep.status == http.StatusServiceUnavailable {
		m.answersRefused.WithLabelValues(string(rep.about), rep.origin.stale.String()).Inc()
		return
	}
	if age := rep.origin.age(now()); age.Known() {
		source := "candidate"
		if rep.origin.source == ownTable {
			source = "own"
		}
		m.answerAge.WithLabelValues(string(rep.about), source).Observe(time.Duration(age).Seconds())
	}
}

// order records the verdict and the duration of an order to a worker.
func (m *metrics) order(kind string, began time.Time, verdict string) {
	m.orders.WithLabelValues(kind, verdict).Observe(time.Since(began).Seconds())
}
