package intake

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the metrics of an Intake, for the listener of the given name.
func (i *Intake) Collectors(listener string) []prometheus.Collector {
	labels := prometheus.Labels{"listener": listener}
	gauge := func(name, help string, value func(Usage) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 { return value(i.Usage()) })
	}
	counter := func(reason string, value func(Usage) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "curlewsill_clients_limited_total", Help: "Clients that were refused or had to give way to others, by reason.",
			ConstLabels: prometheus.Labels{"listener": listener, "reason": reason},
		}, func() float64 { return float64(value(i.Usage())) })
	}
	return []prometheus.Collector{
		gauge("curlewsill_client_connections", "Open connections of clients.", func(u Usage) float64 { return float64(u.Connections) }),
		gauge("curlewsill_client_connections_peak", "The most connections of clients that were open at a time.",
			func(u Usage) float64 { return float64(u.PeakConnections) }),
		gauge("curlewsill_client_memory_bytes", "Memory that is reserved for heads, bodies and answers of clients.",
			func(u Usage) float64 { return float64(u.Memory) }),
		gauge("curlewsill_client_memory_peak_bytes", "The most memory that was reserved for clients at a time.",
			func(u Usage) float64 { return float64(u.PeakMemory) }),
		counter("evicted", func(u Usage) uint64 { return u.Evicted }),
		counter("full", func(u Usage) uint64 { return u.Refused }),
		counter("head", func(u Usage) uint64 { return u.HeadsTooLarge }),
	}
}
