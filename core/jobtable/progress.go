package jobtable

import (
	"errors"
	"slices"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// errGroup reports a progress record with an invalid group of tasks.
var errGroup = errors.New("jobtable: group of tasks with an invalid name index or count")

// maxTasks limits the tasks of one job that are decoded, so that a damaged record
// can't exhaust the memory.
const maxTasks = 1 << 20

// packedProgress is the encoded form of a job's progress. When a job has several
// rounds, most of its tasks are done or waiting, and many have the same worker or
// checkpoint. Consecutive tasks in the same state are therefore written once with
// a count, and each name of a worker or checkpoint is written once.
type packedProgress struct {
	_       struct{} `cbor:",toarray"`
	Outcome job.Outcome
	Ended   unit.Instant
	// Names has the names of workers and checkpoints.
	Names  []string
	Groups []taskGroup
	// Crashes has an entry for each crash count. If crashes of its task were
	// excused, a second entry for the task follows, whose Run is their number.
	// Hosts that don't know such entries use only the first one. Entries with a
	// negative Task are ranges of confirmed starts; see confirmedStarts. Hosts
	// that don't know these ignore them, since no task has such a position.
	Crashes []job.CrashCount
}

// taskGroup is a number of consecutive tasks in the same state.
type taskGroup struct {
	_      struct{} `cbor:",toarray"`
	Count  int
	Phase  job.Phase
	Run    job.RunNumber
	Failed int
	// Worker and Checkpoint are positions in Names, from 1; 0 for an empty name.
	Worker, Checkpoint int
}

// pack returns the encoded form of a job's progress.
func pack(p job.Progress) packedProgress {
	out := packedProgress{Outcome: p.Outcome, Ended: p.Ended, Crashes: append(packCrashes(p.Crashes), confirmedStarts(p.Tasks)...)}
	positions := map[string]int{"": 0}
	name := func(s string) int {
		n, ok := positions[s]
		if !ok {
			out.Names = append(out.Names, s)
			n = len(out.Names)
			positions[s] = n
		}
		return n
	}
	for i := range p.Tasks {
		if i > 0 && sameGroup(p.Tasks[i], p.Tasks[i-1]) {
			out.Groups[len(out.Groups)-1].Count++
			continue
		}
		t := &p.Tasks[i]
		out.Groups = append(out.Groups, taskGroup{
			Count: 1, Phase: t.Phase, Run: t.Run, Failed: t.Failures, Worker: name(string(t.Worker)), Checkpoint: name(t.Checkpoint),
		})
	}
	return out
}

// unpack returns the job's progress from its encoded form.
func (p packedProgress) unpack() (job.Progress, error) {
	out := job.Progress{Outcome: p.Outcome, Ended: p.Ended, Crashes: unpackCrashes(p.Crashes)}
	for _, g := range p.Groups {
		worker, workerOK := p.name(g.Worker)
		checkpoint, checkpointOK := p.name(g.Checkpoint)
		if !workerOK || !checkpointOK || g.Count < 1 || g.Count > maxTasks-len(out.Tasks) {
			return job.Progress{}, errGroup
		}
		t := job.TaskState{Phase: g.Phase, Run: g.Run, Failures: g.Failed, Worker: id.Worker(worker), Checkpoint: checkpoint}
		out.Tasks = append(out.Tasks, slices.Repeat([]job.TaskState{t}, g.Count)...)
	}
	markConfirmedStarts(out.Tasks, p.Crashes)
	return out, nil
}

// sameGroup reports whether two tasks have the same state but for the
// confirmation of their starts, which is encoded apart from the groups.
func sameGroup(a, b job.TaskState) bool {
	a.StartConfirmed = b.StartConfirmed
	return a == b
}

// confirmedStarts returns the ranges of placed tasks whose starts are confirmed,
// in the form of crash counts: Task is -1 minus the position of the first task,
// Total the number of tasks, and Run their run. A range whose run isn't that of
// the task any more has no effect: a host that doesn't know these entries may
// have kept them while it changed the tasks.
func confirmedStarts(tasks []job.TaskState) []job.CrashCount {
	var out []job.CrashCount
	for i, t := range tasks {
		if !t.StartConfirmed || t.Phase != job.Placed {
			continue
		}
		if last := len(out) - 1; last >= 0 && -1-out[last].Task+out[last].Total == i && out[last].Run == t.Run {
			out[last].Total++
			continue
		}
		out = append(out, job.CrashCount{Task: -1 - i, Run: t.Run, Total: 1})
	}
	return out
}

// markConfirmedStarts sets StartConfirmed in the tasks of the ranges among the
// entries.
func markConfirmedStarts(tasks []job.TaskState, entries []job.CrashCount) {
	for _, e := range entries {
		first := -1 - e.Task
		if e.Task >= 0 || first >= len(tasks) || e.Total < 0 {
			continue
		}
		for i := first; i < len(tasks) && i-first < e.Total; i++ {
			t := &tasks[i]
			t.StartConfirmed = t.StartConfirmed || t.Phase == job.Placed && t.Run == e.Run
		}
	}
}

// packCrashes returns the encoded form of crash counts.
func packCrashes(counts []job.CrashCount) []job.CrashCount {
	var out []job.CrashCount
	for _, c := range counts {
		out = append(out, c)
		if c.Excused > 0 {
			out = append(out, job.CrashCount{Task: c.Task, Run: job.RunNumber(c.Excused)})
		}
	}
	return out
}

// unpackCrashes returns the crash counts from their encoded form.
func unpackCrashes(entries []job.CrashCount) []job.CrashCount {
	var out []job.CrashCount
	for _, e := range entries {
		if e.Task < 0 {
			continue
		}
		if last := len(out) - 1; last >= 0 && out[last].Task == e.Task {
			out[last].Excused = max(0, int(e.Run))
			continue
		}
		out = append(out, e)
	}
	return out
}

// name returns the name at a position in Names, or false if there is none.
func (p packedProgress) name(pos int) (string, bool) {
	if pos == 0 {
		return "", true
	}
	if pos < 0 || pos > len(p.Names) {
		return "", false
	}
	return p.Names[pos-1], true
}

// encodeProgress returns the value of a progress record.
func (t *Table) encodeProgress(p job.Progress) ([]byte, error) { return t.progress.Encode(pack(p)) }

// decodeProgress returns the progress in the value of a progress record.
func (t *Table) decodeProgress(value []byte) (job.Progress, error) {
	p, err := t.progress.Decode(value)
	if err != nil {
		return job.Progress{}, err
	}
	return p.unpack()
}
