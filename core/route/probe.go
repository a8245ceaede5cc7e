package route

import (
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
	"curlewsill.org/curlewsill/core/unit"
)

// PeerReportedLeaving handles a peer's evidence that a backend server is
// leaving.
func (r *Router) PeerReportedLeaving(now unit.Instant, d LeavingEvidence) {
	p := r.pools[d.Service]
	if p == nil || d.Age >= leavingMaxAge {
		return
	}
	if b := p.find(d.Backend); b != nil {
		// The evidence keeps its age. If it counted as new here, the hosts
		// would renew it among themselves without end.
		b.leavingSince = max(b.leavingSince, now.Add(-d.Age))
		b.apply(leave)
	}
}

// LeavingBackends returns the backend servers for which this host has recent
// first-hand evidence that they are leaving.
func (r *Router) LeavingBackends(now unit.Instant) []LeavingEvidence {
	var out []LeavingEvidence
	for _, k := range config.SortedKeys(r.pools) {
		for _, b := range r.pools[k].backends {
			if b.state == leaving && b.leavingSince != 0 && now.Sub(b.leavingSince) < leavingMaxAge {
				out = append(out, LeavingEvidence{k, b.id, now.Sub(b.leavingSince)})
			}
		}
	}
	return out
}

// Probe probes the backend servers that are assigned to this host, to find out
// whether they accept requests. Hosts lists this host and the hosts that it
// considers live. If it lists no other host, this host probes all backend
// servers.
func (r *Router) Probe(now unit.Instant, self id.Host, hosts []id.Host) {
	for _, k := range config.SortedKeys(r.pools) {
		for _, b := range r.pools[k].backends {
			if b.state == leaving && !b.leavingDoubted || now.Sub(b.lastProbe) < probeInterval {
				continue
			}
			b.lastProbe = now
			if !b.leavingDoubted && rank.Of(self, string(b.id), hosts) >= probersPerBackend {
				continue
			}
			r.out.Probes = append(r.out.Probes, Probe{k, b.id})
		}
	}
}

// Probed handles the end of a probe.
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
	case Complete:
		if b.leavingDoubted {
			b.leavingDoubted = false
			b.apply(rejoin)
		}
	case Leaving:
		b.leavingSince, b.leavingDoubted = now, false
		b.apply(leave)
	case NotSent:
		if b.state == live {
			b.failed(now, p.mayEject())
		}
	}
}
