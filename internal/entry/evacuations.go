package entry

import (
	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/evacuation"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

// applyEvacuation applies a record that evacuates a failure domain or revokes
// its evacuation.
func (h *Host) applyEvacuation(at id.Offset, r jobtable.Record) {
	domain, evacuated, err := platform.DecodeEvacuation(r)
	if err != nil {
		h.rejectEvacuation(r, err)
		return
	}
	if c, changed := h.evacuations.Apply(at, domain, evacuated); changed {
		h.evacuationsChanged([]evacuation.Change{c})
	}
}

// replaceEvacuations replaces the evacuations by those in the newest records of
// the operator's log, which ended at an offset. A record that can't be decoded
// leaves its domain unchanged.
func (h *Host) replaceEvacuations(end id.Offset, recs []jobtable.Record) {
	var domains []id.Domain
	for _, r := range recs {
		if !platform.IsEvacuation(r) {
			continue
		}
		domain, evacuated, err := platform.DecodeEvacuation(r)
		if err != nil {
			h.rejectEvacuation(r, err)
			evacuated = h.evacuations.Has(domain)
		}
		if evacuated {
			domains = append(domains, domain)
		}
	}
	h.evacuationsChanged(h.evacuations.Replace(end, domains))
}

// rejectEvacuation logs and counts a record that can't be decoded.
func (h *Host) rejectEvacuation(r jobtable.Record, err error) {
	h.metrics.evacuationsRejected.Inc()
	h.log.Error("evacuation-rejected", zap.String("key", r.Key), zap.Error(err))
}

// evacuationsChanged logs changes and passes them to the dispatcher if this
// host is the owner.
func (h *Host) evacuationsChanged(changes []evacuation.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		h.log.Info("evacuation-in-force", zap.String("domain", string(c.Domain)), zap.Bool("evacuated", c.Evacuated), zap.Uint64("offset", uint64(c.Since)))
	}
	h.metrics.evacuated.Store(int64(len(h.evacuations.Domains())))
	if h.owner != nil {
		h.owner.evacuate()
	}
}

// noteOperatorRead records that this host knows all operator records up to the
// time when a read was sent.
func (h *Host) noteOperatorRead(sent unit.Instant) {
	h.operatorReadAt = max(h.operatorReadAt, sent)
	if h.owner != nil {
		h.owner.setOperatorReadTime()
	}
}

// evacuate passes the evacuated failure domains to the dispatcher and to the
// goroutines that send orders.
func (o *owner) evacuate() {
	o.core.SetEvacuated(o.host.evacuations.Domains())
	o.setStartRules()
}

// setOperatorReadTime passes the time of the newest read of the operator's
// records to the dispatcher and to the goroutines that send orders.
func (o *owner) setOperatorReadTime() {
	o.core.ConfirmEvacuations(o.host.operatorReadAt)
	o.setStartRules()
}

// confirmReads passes the latest times as of which no other host was the owner, and
// as of which all cancellations are known, to the dispatcher and to the goroutines
// that send orders.
func (o *owner) confirmReads() {
	o.core.ConfirmSoleOwner(o.host.assured)
	o.core.ConfirmJobs(o.host.jobsReadAt)
	o.setStartRules()
}

// setStartRules sets which start orders may be sent from now on.
func (o *owner) setStartRules() {
	r := o.core.StartRules()
	o.startRules.Store(&r)
}

// denyStart checks a start order just before it is sent, since it may have been
// queued for a while. If the order may no longer be sent, denyStart returns the
// order's result and true, else false.
func (o *owner) denyStart(s dispatch.Start) (dispatch.StartResult, bool) {
	now := o.host.now()
	why := o.startRules.Load().DenialReason(now, s.Domain)
	if why == "" && s.SendBefore != 0 && now > s.SendBefore {
		why = "its job may have been cancelled since the order was decided"
	}
	if why == "" {
		return dispatch.StartResult{}, false
	}
	o.host.log.Info("start-held", zap.String("job", string(s.Task.Job)), zap.Stringer("task", s.Task), zap.Int("run", int(s.Run)),
		zap.String("worker", string(s.Worker)), zap.String("domain", string(s.Domain)), zap.String("why", why))
	return dispatch.StartResult{Start: s, Verdict: fleet.Unreachable}, true
}
