// Package policy names the mechanisms by which the owner decides what runs where. Each can be
// switched off by itself, so that what it is worth can be measured by a change of settings.
package policy

import "slices"

// Policy says which mechanisms are on. They are independent of each other but for what they say. The
// zero value has all off; New has all on.
type Policy struct {
	// Preempt: urgent work that finds no room stops less urgent work.
	Preempt bool
	// TakeFreed: urgent work for which others are stopped takes room that becomes free elsewhere
	// before these have ended. Without Preempt it does nothing.
	TakeFreed bool
	// KeepEmpty: some empty workers are kept for urgent work that is expected.
	KeepEmpty bool
	// HoldBack: single tasks of work that isn't urgent and has time don't start while fewer workers
	// are empty than are kept. Without KeepEmpty it does nothing.
	HoldBack bool
	// ByDeadline: of equally urgent steps the one with the earlier deadline goes first, those that
	// can't earn anything any more last. Off: the one that fell due first.
	ByDeadline bool
	// UsedRacksFirst: workers in use, and racks in use, are filled before empty ones are opened.
	UsedRacksFirst bool
	// SuspendFailing: workers on which runs of several jobs in a row failed come last, and get no
	// tasks for a while.
	SuspendFailing bool
	// SuspendAtOnce: one run that fails at once suspends its worker.
	SuspendAtOnce bool
	// MoveStalled: a run that makes no progress while others do is stopped, starts elsewhere, and suspends its worker.
	MoveStalled bool
	// IsolateSuspects: a task under which a worker has crashed starts on a worker of its own, or beside tasks that have
	// gone on for a while. Off: a task that only ran beside one that crashes workers may be given up with it.
	IsolateSuspects bool
	// KeepGangRoom: room is kept where it will be free soonest for gangs that have to start soon.
	KeepGangRoom bool
	// BoundStarts: a window bounds the orders to start that have no verdict.
	BoundStarts bool
}

// field is a switch by its name in settings.
type field struct {
	name string
	in   func(*Policy) *bool
}

// fields has each switch once.
var fields = []field{
	{"preempt", func(p *Policy) *bool { return &p.Preempt }},
	{"take_freed", func(p *Policy) *bool { return &p.TakeFreed }},
	{"keep_empty", func(p *Policy) *bool { return &p.KeepEmpty }},
	{"hold_back", func(p *Policy) *bool { return &p.HoldBack }},
	{"by_deadline", func(p *Policy) *bool { return &p.ByDeadline }},
	{"used_racks_first", func(p *Policy) *bool { return &p.UsedRacksFirst }},
	{"suspend_failing", func(p *Policy) *bool { return &p.SuspendFailing }},
	{"suspend_at_once", func(p *Policy) *bool { return &p.SuspendAtOnce }},
	{"move_stalled", func(p *Policy) *bool { return &p.MoveStalled }},
	{"isolate_suspects", func(p *Policy) *bool { return &p.IsolateSuspects }},
	{"keep_gang_room", func(p *Policy) *bool { return &p.KeepGangRoom }},
	{"bound_starts", func(p *Policy) *bool { return &p.BoundStarts }},
}

// New returns the policy with all mechanisms on.
func New() Policy {
	var p Policy
	for _, f := range fields {
		*f.in(&p) = true
	}
	return p
}

// Names returns the names of all switches, in a fixed order.
func Names() []string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, f.name)
	}
	return out
}

// Off returns the names of the switches that are off.
func (p Policy) Off() []string {
	var out []string
	for _, f := range fields {
		if !*f.in(&p) {
			out = append(out, f.name)
		}
	}
	return out
}

// With returns the policy with one switch set, or false if there is none of that name.
func (p Policy) With(name string, on bool) (Policy, bool) {
	at := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if at < 0 {
		return p, false
	}
	*fields[at].in(&p) = on
	return p, true
}
