package dayreport

import "strings"

// cause is what a job lost time by.
type cause string

// The causes.
const (
	// waited: no room for its first run, or no room that was good enough.
	waited cause = "waiting for room"
	// preempted: stopped for more urgent work.
	preempted cause = "stopped for urgent work"
	// stalled: its run made no progress.
	stalled cause = "no progress"
	// left: its worker was taken away.
	left cause = "worker left"
	// crashed: its worker was lost, or didn't know the run any more.
	crashed cause = "worker lost"
	// failed: its own run, or another member of its gang, failed.
	failed cause = "a run failed"
	// consequence: another member of its gang ended; the reason is that one's.
	consequence cause = "gang member ended"
	// slow: nothing of it was stopped; slow workers, several steps, or places far from its data or from each other.
	slow cause = "slow runs, later steps"
	// other: any other reason.
	other cause = "another reason"
)

// words lead from what a line says to a cause. The first one that is found counts. "running" and "stopping" stand in lines of runs that their worker
// doesn't list any more: what they were then.
var words = []struct {
	word  string
	cause cause
}{
	{"makes room", preempted},
	{"no progress", stalled},
	{"its worker leaves", left},
	{"lease has lapsed", crashed},
	{"another life", crashed},
	{"lapsed", crashed},
	{"running", crashed},
	{"stopping", crashed},
	{"failed", failed},
	{"alone", consequence},
	{"broken", consequence},
	{"stopped", consequence},
	{"gang member", consequence},
}

// causeOf returns the cause that a line's reason names.
func causeOf(why string) cause {
	for _, w := range words {
		if strings.Contains(why, w.word) {
			return w.cause
		}
	}
	return other
}

// decision says whether the time was lost by a decision of the owner's, so that another one could have saved it.
func (c cause) decision() string {
	switch c {
	case waited, preempted, stalled, slow:
		return "yes"
	}
	return "no"
}
