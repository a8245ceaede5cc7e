// Package stats collects the metrics of an entry host; docs/METRICS.md lists them.
package stats

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/route"
)

// viewTimeout bounds how long a scrape waits for the host's view.
const viewTimeout = time.Second

// Viewer returns a snapshot of a host's state.
type Viewer interface {
	View(ctx context.Context, jobs bool) (node.View, error)
}

// Stats holds the metrics of one host.
type Stats struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	faults   prometheus.Counter
	viewer   Viewer
	gauges   []gauge
}

// gauge is a metric whose value is read from the host's view at each scrape. It may
// also be a counter.
type gauge struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(node.View) float64
}

// New returns the metrics with all counters at zero.
func New() *Stats {
	s := &Stats{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "curlewsill_requests_total",
			Help: "Final responses to callers, by service, code (empty for a backend server's response) and whether the request ran.",
		}, []string{"service", "code", "ran"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "curlewsill_request_seconds",
			Help:    "Time from a request's arrival to its final response.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service"}),
		faults: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "curlewsill_faults_total",
			Help: "Violated invariants. The affected decisions were not taken.",
		}),
	}
	s.registry.MustRegister(s.requests, s.latency, s.faults, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

// Registry returns the registry for the scrape handler.
func (s *Stats) Registry() *prometheus.Registry { return s.registry }

// CountFault counts a violated invariant.
func (s *Stats) CountFault(error) { s.faults.Inc() }

// ObserveRequest records a final response and its latency. The service is empty unless
// it is known that there is one of that name.
func (s *Stats) ObserveRequest(service id.Service, code route.Code, ran route.Ran, latency time.Duration) {
	s.requests.WithLabelValues(string(service), string(code), string(ran)).Inc()
	s.latency.WithLabelValues(string(service)).Observe(latency.Seconds())
}

// RegisterHost registers the metrics of a host's state.
func (s *Stats) RegisterHost(v Viewer) {
	s.viewer = v
	add := func(name, help string, kind prometheus.ValueType, value func(node.View) float64) {
		s.gauges = append(s.gauges, gauge{prometheus.NewDesc(name, help, nil, nil), kind, value})
	}
	add("curlewsill_log_offset", "Offset of the last record applied.", prometheus.GaugeValue,
		func(v node.View) float64 { return float64(v.Applied) })
	add("curlewsill_config_offset", "Offset of the configuration in force.", prometheus.GaugeValue,
		func(v node.View) float64 { return float64(v.ConfigAt) })
	add("curlewsill_log_age_seconds", "Time since the log was last read.", prometheus.GaugeValue,
		func(v node.View) float64 { return v.LogAge.Seconds() })
	add("curlewsill_ready", "1 if the host is ready.", prometheus.GaugeValue,
		func(v node.View) float64 { return boolValue(v.State == node.Ready) })
	add("curlewsill_owner", "1 if the host owns scheduling.", prometheus.GaugeValue,
		func(v node.View) float64 { return boolValue(v.Owner.Host == v.Host) })
	add("curlewsill_requests_flying", "Requests in flight, without a final response.", prometheus.GaugeValue,
		func(v node.View) float64 { return float64(v.InFlight) })
	add("curlewsill_jobs_pending", "Pending jobs, on the owner.", prometheus.GaugeValue,
		func(v node.View) float64 { return float64(v.Sched.Pending) })
	add("curlewsill_jobs_running", "Gangs whose start gates are open, on the owner.", prometheus.GaugeValue,
		func(v node.View) float64 { return float64(v.Sched.Running) })
	add("curlewsill_fragmentation", "Share of free accelerators that can't serve the gang sizes in demand, on the owner.",
		prometheus.GaugeValue, func(v node.View) float64 { return v.Sched.Fragmentation })
	add("curlewsill_guarantee_at_risk", "1 if a guaranteed block has no place on the live workers, on the owner.",
		prometheus.GaugeValue, func(v node.View) float64 { return boolValue(v.Sched.AtRisk) })
	add("curlewsill_workers_quarantined", "Workers that get no tasks because jobs crashed on them, on the owner.",
		prometheus.GaugeValue, func(v node.View) float64 { return float64(v.Sched.Quarantined) })
	add("curlewsill_preemptions_total", "Gangs preempted by this owner.", prometheus.CounterValue,
		func(v node.View) float64 { return float64(v.Sched.Preempted) })
	add("curlewsill_records_damaged_total", "Records of the log that hold no batch of entries.", prometheus.CounterValue,
		func(v node.View) float64 { return float64(v.Counts.Damaged) })
	add("curlewsill_entries_void_total", "Entries of any host that were not accepted in the log.", prometheus.CounterValue,
		func(v node.View) float64 { return float64(v.Counts.Void) })
	add("curlewsill_states_diverged_total", "Peers whose state differed after applying the same records.", prometheus.CounterValue,
		func(v node.View) float64 { return float64(v.Counts.Diverged) })
	add("curlewsill_appends_total", "Appends to the log, including retries.", prometheus.CounterValue,
		func(v node.View) float64 { return float64(v.Counts.Batches) })
	s.registry.MustRegister(s)
}

// Links reports the traffic on the connections to peers.
type Links interface {
	Bytes() (sent, received uint64)
	Dropped() uint64
	FoundDead() uint64
}

// RegisterLinks registers the metrics of the connections to peers.
func (s *Stats) RegisterLinks(l Links) {
	add := func(name, help string, value func() float64) {
		s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
	}
	add("curlewsill_peer_sent_bytes_total", "Bytes of frames sent to peers.", func() float64 {
		sent, _ := l.Bytes()
		return float64(sent)
	})
	add("curlewsill_peer_received_bytes_total", "Bytes of frames received from peers.", func() float64 {
		_, received := l.Bytes()
		return float64(received)
	})
	add("curlewsill_peer_dropped_total", "Frames dropped because a peer received them too slowly.", func() float64 {
		return float64(l.Dropped())
	})
	add("curlewsill_peer_links_found_dead_total", "Connections to and from peers that were closed because nothing arrived from the peer.", func() float64 {
		return float64(l.FoundDead())
	})
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Describe implements prometheus.Collector.
func (s *Stats) Describe(c chan<- *prometheus.Desc) {
	for _, g := range s.gauges {
		c <- g.desc
	}
}

// Collect implements prometheus.Collector.
func (s *Stats) Collect(c chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), viewTimeout)
	defer cancel()
	v, err := s.viewer.View(ctx, false)
	if err != nil {
		return
	}
	for _, g := range s.gauges {
		c <- prometheus.MustNewConstMetric(g.desc, g.kind, g.value(v))
	}
}
