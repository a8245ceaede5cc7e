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

// takeEvacuation takes in a record that evacuates a failure domain, or takes that back.
func (h *Host) takeEvacuation(at id.Offset, r jobtable.Record) {
	domain, evacuated, err := platform.DecodeEvacuation(r)
	if err != nil {
		h.rejectEvacuation(r, err)
		return
	}
	if c, changed := h.evacuations.Apply(at, domain, evacuated); changed {
		h.evacuated([]evacuation.Change{c})
	}
}

// takeEvacuations takes in all evacuations of the newest records of the operator's log, which ended at an offset.
// What can't be read leaves its domain as it was.
func (h *Host) takeEvacuations(end id.Offset, recs []jobtable.Record) {
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
	h.evacuated(h.evacuations.Replace(end, domains))
}

// rejectEvacuation tells of a record that isn't understood.
func (h *Host) rejectEvacuation(r jobtable.Record, err error) {
	h.metrics.evacuationsRejected.Inc()
	h.log.Error("evacuation-rejected", zap.String("key", r.Key), zap.Error(err))
}

// evacuated hands changes to the owner, if this host is it.
func (h *Host) evacuated(changes []evacuation.Change) {
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

// inform takes in that the operator's records are known as of a read that left at a time.
func (h *Host) inform(left unit.Instant) {
	h.informed = max(h.informed, left)
	if h.owner != nil {
		h.owner.inform()
	}
}

// evacuate hands the evacuated failure domains to the dispatcher and to the goroutines that send orders.
func (o *owner) evacuate() {
	o.core.Evacuate(o.host.evacuations.Domains())
	o.setRules()
}

// inform tells the same how new what the host knows is.
func (o *owner) inform() {
	o.core.Inform(o.host.informed)
	o.setRules()
}

// setRules sets which orders to start may leave from now on.
func (o *owner) setRules() {
	r := o.core.StartRules()
	o.rules.Store(&r)
}

// held returns the result of an order to start that may not leave any more: it has waited for its turn since it was decided. It returns
// false if the order may leave.
func (o *owner) held(s dispatch.Start) (dispatch.StartResult, bool) {
	why := o.rules.Load().Forbid(o.host.now(), s.Domain)
	if why == "" {
		return dispatch.StartResult{}, false
	}
	o.host.log.Info("start-held", zap.String("job", string(s.Task.Job)), zap.Stringer("task", s.Task), zap.Int("run", int(s.Run)),
		zap.String("worker", string(s.Worker)), zap.String("domain", string(s.Domain)), zap.String("why", why))
	return dispatch.StartResult{Start: s, Verdict: fleet.Unreachable}, true
}
