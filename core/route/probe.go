package route

import (
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/unit"
)

// Departed takes in a peer's evidence that a backend server leaves.
func (r *Router) Departed(now unit.Instant, d Departure) {
	p := r.pools[d.Service]
	if p == nil || d.Age >= trustLeaving {
		return
	}
	if b := p.find(d.Backend); b != nil {
		// The age goes with the evidence, or hosts would renew it among themselves.
		b.left = max(b.left, now.Add(-d.Age))
		b.apply(leave)
	}
}

// Departures returns the backend servers known at first hand to be leaving.
func (r *Router) Departures(now unit.Instant) []Departure {
	var out []Departure
	for _, k := range config.Sorted(r.pools) {
		for _, b := range r.pools[k].backends {
			if b.state == leaving && b.left != 0 && now.Sub(b.left) < trustLeaving {
				out = append(out, Departure{k, b.id, now.Sub(b.left)})
			}
		}
	}
	return out
}

// Probe asks the backend servers that this host looks after whether they take
// requests. Hosts are those that this host hears of, itself included; a host that
// hears of no other looks after all.
func (r *Router) Probe(now unit.Instant, self id.Host, hosts []id.Host) {
	for _, k := range config.Sorted(r.pools) {
		for _, b := range r.pools[k].backends {
			if b.state == leaving && !b.doubted || now.Sub(b.probed) < probeEvery {
				continue
			}
			b.probed = now
			if !b.doubted && rank.Of(self, string(b.id), hosts) >= probers {
				continue
			}
			r.out.Probes = append(r.out.Probes, Probe{k, b.id})
		}
	}
}

// Probed takes in the end of a probe.
func (r *Router) Probed(now unit.Instant, q Probe, o Outcome) {
	p := r.pools[q.Service]
	if p == nil {
		return
	}
	b := p.find(q.Backend)
	if b == nil {
		return
	}
	switch o {
	case Whole:
		if b.doubted {
			b.doubted = false
			b.apply(comeBack)
		}
	case Leaving:
		b.left, b.doubted = now, false
		b.apply(leave)
	case Unreached:
		if b.state == live {
			b.failed(now, p.mayEject())
		}
	}
}
