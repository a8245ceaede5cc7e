// Package policy names the mechanisms by which the owner decides what runs
// where. Each can be turned off in the settings by itself, so that its effect
// can be measured.
package policy

import "slices"

// Policy says which mechanisms are on. Unless a field's comment says
// otherwise, they are independent of each other. The zero value has all of them
// off; New returns a policy with all of them on.
type Policy struct {
	// Preempt: urgent work for which there is no room preempts less urgent
	// work.
	Preempt bool
	// TakeFreed: while other work is being preempted for urgent work, the
	// urgent work uses room elsewhere if such room becomes free first. It has
	// no effect without Preempt.
	TakeFreed bool
	// KeepEmpty: some empty workers are reserved for urgent work that is
	// expected.
	KeepEmpty bool
	// HoldBack: while fewer workers are empty than KeepEmpty reserves, a task
	// outside a gang doesn't start if its work isn't urgent and has time to
	// wait. It has no effect without KeepEmpty.
	HoldBack bool
	// ByDeadline: of equally urgent steps, the one with the earlier deadline
	// starts first. Steps that are so late that completing them earns nothing
	// any more start last. If off, the step that became due first starts first.
	ByDeadline bool
	// UsedRacksFirst: workers and racks that are already in use are filled
	// before tasks are placed on empty ones.
	UsedRacksFirst bool
	// SuspendFailing: workers on which runs of several jobs in a row failed are
	// considered last, and get no tasks for a while.
	SuspendFailing bool
	// SuspendAtOnce: a single run that fails immediately suspends its worker.
	SuspendAtOnce bool
	// MoveStalled: a run that makes no progress while others do is stopped and
	// started on another worker, and its worker is suspended.
	MoveStalled bool
	// IsolateSuspects: a task under which a worker has crashed starts on a
	// worker of its own, or beside tasks that have been running for a while. If
	// off, a task that merely ran beside a task that crashes workers may be
	// given up together with it.
	IsolateSuspects bool
	// KeepGangRoom: for gangs that have to start soon, the room that will be
	// free soonest is reserved.
	KeepGangRoom bool
	// BoundStarts: a window bounds the number of start orders in flight that
	// have no answer yet.
	BoundStarts bool
	// UseSpeeds: where workers are shown to differ in speed, decisions take into
	// account how slow each is. Speeds are learned in any case.
	UseSpeeds bool
}

// toggle is one switch of a Policy under its name in the settings.
type toggle struct {
	name string
	flag func(*Policy) *bool
}

// toggles lists each switch once.
var toggles = []toggle{
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
	{"use_speeds", func(p *Policy) *bool { return &p.UseSpeeds }},
}

// New returns the policy with all mechanisms on.
func New() Policy {
	var p Policy
	for _, t := range toggles {
		*t.flag(&p) = true
	}
	return p
}

// Names returns the names of all switches, in a fixed order.
func Names() []string {
	out := make([]string, 0, len(toggles))
	for _, t := range toggles {
		out = append(out, t.name)
	}
	return out
}

// Off returns the names of the switches that are off.
func (p Policy) Off() []string {
	var out []string
	for _, t := range toggles {
		if !*t.flag(&p) {
			out = append(out, t.name)
		}
	}
	return out
}

// With returns the policy with one switch set, and false if no switch has that
// name.
func (p Policy) With(name string, on bool) (Policy, bool) {
	i := slices.IndexFunc(toggles, func(t toggle) bool { return t.name == name })
	if i < 0 {
		return p, false
	}
	*toggles[i].flag(&p) = on
	return p, true
}
