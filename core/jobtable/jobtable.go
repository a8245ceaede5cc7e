// Package jobtable holds the state of all jobs as the platform's store has it.
//
// The store keeps the newest record of each key, in two logs. Every host follows the first one, which has what callers
// are told. A job has up to three keys there, and each has one kind of writer: the spec (the entry host that accepted the
// job), the cancellation (the entry host that took it) and the summary (the owner). The keys are apart, so that a submission
// repeated late can't undo a cancellation or an end. One more key names the owner.
//
// The second one, the progress log, has how far jobs are, task by task, and waves of maintenance. Only the owner
// writes it, and only hosts that may be the next owner read it: it is rewritten with each start and end of a task, and
// grows many times as fast as the first one. A job's progress stands there from its first placement until nothing of it
// runs any more and its outcome is in the first log.
package jobtable

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// ErrKey reports a record whose key no rule explains.
var ErrKey = errors.New("jobtable: unknown key")

// Entry is what the table knows of one job.
type Entry struct {
	// Spec is nil if only other records of the job are known.
	Spec      *job.Spec
	Cancelled bool
	// Summary is nil if the owner has written nothing of the job: no task has been placed.
	Summary *Summary
	// Progress is what the progress log has of the job; of one that has ended the outcome is in Summary.
	Progress job.Progress
}

// Ended reports whether callers are told of an outcome. An entry that isn't there has none.
func (e *Entry) Ended() bool { return e != nil && e.Summary != nil && e.Summary.Outcome != job.Open }

// Resumed returns the progress from which an owner goes on.
func (e *Entry) Resumed() job.Progress {
	p := e.Progress
	if e.Ended() {
		p.Outcome, p.Ended = e.Summary.Outcome, e.Summary.Ended
	}
	return p
}

// Table is the state of all jobs and waves. The zero value is not ready; call New.
type Table struct {
	jobs  map[id.Job]*Entry
	waves map[id.Wave]Wave
	// next is the offset of the first record of the log that every host follows which was not applied.
	next  id.Offset
	owner Owner
	// former holds the jobs whose progress stands in that log, as earlier versions write it.
	former map[id.Job]bool

	specs     codec.Codec[job.Spec]
	summaries codec.Codec[Summary]
	progress  codec.Codec[packedProgress]
	owners    codec.Codec[Owner]
	waveCodec codec.Codec[Wave]
}

// New returns an empty table.
func New() *Table {
	return &Table{
		jobs:      map[id.Job]*Entry{},
		waves:     map[id.Wave]Wave{},
		former:    map[id.Job]bool{},
		specs:     codec.New[job.Spec](),
		summaries: codec.New[Summary](),
		progress:  codec.New[packedProgress](),
		owners:    codec.New[Owner](),
		waveCodec: codec.New[Wave](),
	}
}

// Next returns the offset up to which records were applied.
func (t *Table) Next() id.Offset { return t.next }

// Advance notes that all records before an offset were applied. It never goes back.
func (t *Table) Advance(next id.Offset) { t.next = max(t.next, next) }

// Owner returns the newest claim.
func (t *Table) Owner() Owner { return t.owner }

// Get returns a job, or nil.
func (t *Table) Get(j id.Job) *Entry { return t.jobs[j] }

// Wave returns how far a wave is, or false if no owner has seen it.
func (t *Table) Wave(n id.Wave) (Wave, bool) {
	w, ok := t.waves[n]
	return w, ok
}

// Jobs returns the names of all jobs in order.
func (t *Table) Jobs() []id.Job { return slices.Sorted(maps.Keys(t.jobs)) }

// Waiting returns how many accepted jobs of a queue have begun no task.
func (t *Table) Waiting(q id.Queue) int {
	n := 0
	for _, e := range t.jobs {
		if e.Spec != nil && e.Spec.Queue == q && !e.Cancelled && e.Summary == nil {
			n++
		}
	}
	return n
}

// Former reports whether the log that every host follows has progress of jobs. Hosts of an earlier version write it there, and nobody of this one
// may go on from that: it would start their tasks again.
func (t *Table) Former() bool { return len(t.former) > 0 }

// ApplyProgress applies one record of the progress log.
func (t *Table) ApplyProgress(r Record) error {
	kind, name := splitKey(r.Key)
	switch kind {
	case ownerKey:
		return nil // who owns it the other log tells
	case progressPrefix:
		return t.applyProgress(id.Job(name), r.Value)
	case wavePrefix:
		return t.applyWave(name, r.Value)
	}
	return fmt.Errorf("%w: %q", ErrKey, r.Key)
}

// splitKey returns a key's prefix and the name behind it, or the whole key where it has none.
func splitKey(key string) (kind, name string) {
	prefix, name, ok := strings.Cut(key, "/")
	if !ok {
		return key, ""
	}
	return prefix + "/", name
}

// Apply applies one record of the log that every host follows, and returns the job that it is about, if any.
func (t *Table) Apply(r Record) (id.Job, error) {
	kind, name := splitKey(r.Key)
	j := id.Job(name)
	switch kind {
	case ownerKey:
		return "", t.applyOwner(r.Value)
	case specPrefix:
		return j, t.applySpec(j, r.Value)
	case cancelPrefix:
		t.applyCancel(j, r.Value)
		return j, nil
	case summaryPrefix:
		return j, t.applySummary(j, r.Value)
	case progressPrefix:
		t.applyFormer(j, r.Value)
		return "", nil
	}
	return "", fmt.Errorf("%w: %q", ErrKey, r.Key)
}

// applyFormer notes progress that an earlier version has written, or dropped.
func (t *Table) applyFormer(j id.Job, value []byte) {
	if len(value) == 0 {
		delete(t.former, j)
		return
	}
	t.former[j] = true
}

// applyOwner takes in a claim, unless a later one was there.
func (t *Table) applyOwner(value []byte) error {
	o, err := t.owners.Decode(value)
	if err != nil {
		return fmt.Errorf("jobtable: owner: %w", err)
	}
	if o.Epoch > t.owner.Epoch {
		t.owner = o
	}
	return nil
}

// applyWave takes in how far the wave of that number is.
func (t *Table) applyWave(name string, value []byte) error {
	n, err := strconv.Atoi(name)
	if err != nil {
		return fmt.Errorf("%w: wave %q", ErrKey, name)
	}
	w, err := t.waveCodec.Decode(value)
	if err != nil {
		return fmt.Errorf("jobtable: wave %d: %w", n, err)
	}
	t.waves[id.Wave(n)] = w
	return nil
}

// entry returns the entry of a job, which is added if there is none.
func (t *Table) entry(j id.Job) *Entry {
	e := t.jobs[j]
	if e == nil {
		e = &Entry{}
		t.jobs[j] = e
	}
	return e
}

// prune drops an entry of which nothing is left.
func (t *Table) prune(j id.Job) {
	e := t.jobs[j]
	if e != nil && e.Spec == nil && !e.Cancelled && e.Summary == nil && !e.Progress.Began() {
		delete(t.jobs, j)
	}
}

// applySpec takes in a job, or drops it.
func (t *Table) applySpec(j id.Job, value []byte) error {
	if len(value) == 0 {
		t.entry(j).Spec = nil
		t.prune(j)
		return nil
	}
	if e := t.jobs[j]; e != nil && e.Spec != nil {
		return nil // the same submission came twice; the first one stands
	}
	s, err := t.specs.Decode(value)
	if err != nil {
		return fmt.Errorf("jobtable: job %s: %w", j, err)
	}
	t.entry(j).Spec = &s
	return nil
}

// applyCancel takes in a cancellation, or drops it.
func (t *Table) applyCancel(j id.Job, value []byte) {
	t.entry(j).Cancelled = len(value) > 0
	t.prune(j)
}

// applySummary takes in what callers are told of a job, or drops that.
func (t *Table) applySummary(j id.Job, value []byte) error {
	if len(value) == 0 {
		t.entry(j).Summary = nil
		t.prune(j)
		return nil
	}
	s, err := t.summaries.Decode(value)
	if err != nil {
		return fmt.Errorf("jobtable: summary of %s: %w", j, err)
	}
	t.entry(j).Summary = &s
	return nil
}

// applyProgress takes in how far a job is, or drops that.
func (t *Table) applyProgress(j id.Job, value []byte) error {
	if len(value) == 0 {
		t.entry(j).Progress = job.Progress{}
		t.prune(j)
		return nil
	}
	p, err := t.decodeProgress(value)
	if err != nil {
		return fmt.Errorf("jobtable: progress of %s: %w", j, err)
	}
	t.entry(j).Progress = p
	return nil
}

// ForgetProgress drops the progress of all jobs. How far waves are stays: an owner may hear of a wave that an earlier one has begun only later.
func (t *Table) ForgetProgress() {
	for _, j := range t.Jobs() {
		t.jobs[j].Progress = job.Progress{}
		t.prune(j)
	}
}

// KeepProgress takes over all that another table has of the progress log.
func (t *Table) KeepProgress(o *Table) {
	t.waves = o.waves
	for j, e := range o.jobs {
		if len(e.Progress.Tasks) > 0 {
			t.entry(j).Progress = e.Progress
		}
	}
}
