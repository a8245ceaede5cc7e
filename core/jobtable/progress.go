package jobtable

import (
	"errors"
	"slices"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// errGroup reports a progress record with tasks that can't be.
var errGroup = errors.New("jobtable: a group of tasks has no such name or size")

// mostTasks bounds the tasks of one job that are read, against a damaged record.
const mostTasks = 1 << 20

// packedProgress is a job's progress as it is written. Of a job that is repeated most tasks are done or wait, and many share a worker or a
// checkpoint: like tasks that follow each other are written once, and each name once.
type packedProgress struct {
	_       struct{} `cbor:",toarray"`
	Outcome job.Outcome
	Ended   unit.Instant
	// Names holds workers and checkpoints.
	Names   []string
	Groups  []taskGroup
	Crashes []job.CrashCount
}

// taskGroup is a number of tasks that follow each other and are in the same state.
type taskGroup struct {
	_      struct{} `cbor:",toarray"`
	Count  int
	Phase  job.Phase
	Run    job.Run
	Failed int
	// Worker and Checkpoint are positions in Names, from 1; 0 for an empty text.
	Worker, Checkpoint int
}

// pack returns a job's progress as it is written.
func pack(p job.Progress) packedProgress {
	out := packedProgress{Outcome: p.Outcome, Ended: p.Ended, Crashes: p.Crashes}
	known := map[string]int{"": 0}
	name := func(s string) int {
		n, ok := known[s]
		if !ok {
			out.Names = append(out.Names, s)
			n = len(out.Names)
			known[s] = n
		}
		return n
	}
	for i := range p.Tasks {
		if i > 0 && p.Tasks[i] == p.Tasks[i-1] {
			out.Groups[len(out.Groups)-1].Count++
			continue
		}
		t := &p.Tasks[i]
		out.Groups = append(out.Groups, taskGroup{
			Count: 1, Phase: t.Phase, Run: t.Run, Failed: t.Failed, Worker: name(string(t.Worker)), Checkpoint: name(t.Checkpoint),
		})
	}
	return out
}

// unpack returns a job's progress from what was written.
func (p packedProgress) unpack() (job.Progress, error) {
	out := job.Progress{Outcome: p.Outcome, Ended: p.Ended, Crashes: p.Crashes}
	for _, g := range p.Groups {
		worker, ok := p.name(g.Worker)
		checkpoint, also := p.name(g.Checkpoint)
		if !ok || !also || g.Count < 1 || g.Count > mostTasks-len(out.Tasks) {
			return job.Progress{}, errGroup
		}
		t := job.TaskState{Phase: g.Phase, Run: g.Run, Failed: g.Failed, Worker: id.Worker(worker), Checkpoint: checkpoint}
		out.Tasks = append(out.Tasks, slices.Repeat([]job.TaskState{t}, g.Count)...)
	}
	return out, nil
}

// name returns the text at a position, and false if there is none.
func (p packedProgress) name(at int) (string, bool) {
	if at == 0 {
		return "", true
	}
	if at < 0 || at > len(p.Names) {
		return "", false
	}
	return p.Names[at-1], true
}

// encodeProgress returns the value of a progress record.
func (t *Table) encodeProgress(p job.Progress) ([]byte, error) { return t.progress.Encode(pack(p)) }

// decodeProgress returns what the value of a progress record says.
func (t *Table) decodeProgress(value []byte) (job.Progress, error) {
	p, err := t.progress.Decode(value)
	if err != nil {
		return job.Progress{}, err
	}
	return p.unpack()
}
