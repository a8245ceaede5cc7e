package dayreport

import "strings"

// cause is the reason why a job lost time. Its value is shown in the report.
type cause string

// The causes.
const (
	// waitedForRoom: there was no room for the job's first run, or only room
	// that wasn't good enough.
	waitedForRoom cause = "waiting for room"
	// preempted: the run was stopped to make room for more urgent work.
	preempted cause = "stopped for urgent work"
	// stalled: the run made no progress.
	stalled cause = "no progress"
	// workerLeft: the run was stopped because its worker was leaving.
	workerLeft cause = "worker left"
	// workerLost: the worker was lost, or it no longer listed the run.
	workerLost cause = "worker lost"
	// runFailed: the run failed, or the run of another member of its gang did.
	runFailed cause = "a run failed"
	// memberEnded: the run ended because another member of its gang had ended.
	// The real reason is in that member's lines.
	memberEnded cause = "gang member ended"
	// slow: no run of the job was stopped or lost, or failed. Its workers were
	// slow, it has several steps, or its tasks were placed far from their data
	// or from each other.
	slow cause = "slow runs, later steps"
	// other: the reason is none of those above.
	other cause = "another reason"
)

// causeWords maps words in the reason of a log line to a cause. The first match
// counts. "running" and "stopping" occur in task-vanished lines. Such a line is
// about a run that its worker no longer lists, and its reason is the last known
// state of the run.
var causeWords = []struct {
	word  string
	cause cause
}{
	{"makes room", preempted},
	{"no progress", stalled},
	{"its worker leaves", workerLeft},
	{"lease has lapsed", workerLost},
	{"another life", workerLost},
	{"lapsed", workerLost},
	{"running", workerLost},
	{"stopping", workerLost},
	{"failed", runFailed},
	{"alone", memberEnded},
	{"broken", memberEnded},
	{"stopped", memberEnded},
	{"gang member", memberEnded},
}

// causeOf returns the cause for the reason that a log line gives.
func causeOf(why string) cause {
	for _, w := range causeWords {
		if strings.Contains(why, w.word) {
			return w.cause
		}
	}
	return other
}

// decision returns "yes" if the time was lost by a decision of the owner:
// another decision could have avoided the loss. Otherwise it returns "no".
func (c cause) decision() string {
	switch c {
	case waitedForRoom, preempted, stalled, slow:
		return "yes"
	}
	return "no"
}
