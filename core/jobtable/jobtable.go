// Package jobtable holds the state of all jobs, built from the records of the
// platform's store.
//
// The store has two logs and keeps the newest record of each key. Every host
// reads the first one, the job log, which has the state that callers see. A job
// has up to three keys there, each with one kind of writer: the spec (written by
// the entry host that accepted the job), the cancellation (by the entry host that
// accepted it) and the summary (by the owner). The keys are separate so that a
// late duplicate of a submission can't undo a cancellation or an outcome. One
// more key names the owner. A tombstone is the cancellation of a job that the log
// doesn't have; package tombstone says how long one lasts.
//
// The second one, the progress log, has the progress of jobs, task by task, and
// the state of maintenance waves. Only the owner writes it, and only hosts that
// may become the next owner read it: each start and end of a task writes the
// job's record anew, so it grows many times as fast as the job log. It has a
// job's progress from the first placement until no task of the job runs any more
// and the job log has the outcome.
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
	"curlewsill.org/curlewsill/core/tombstone"
	"curlewsill.org/curlewsill/core/unit"
)

// ErrUnknownKey reports a record with a key of unknown format.
var ErrUnknownKey = errors.New("jobtable: unknown key")

// Entry is the state of one job in the table.
type Entry struct {
	// Spec is nil if the table has only other records of the job.
	Spec *job.Spec
	// Cancelled is set if the job was cancelled, Void if a tombstone had cancelled it
	// before its spec came. A void job is cancelled, and was never accepted.
	Cancelled, Void bool
	// Summary is nil until the owner writes a summary, which it does when a
	// worker is known to have begun a task of the job, or the job ends.
	Summary *Summary
	// Progress is the job's record in the progress log. The outcome of an ended
	// job is in Summary.
	Progress job.Progress
}

// Ended reports whether callers see an outcome of the job. It returns false for
// a nil entry.
func (e *Entry) Ended() bool { return e != nil && e.Summary != nil && e.Summary.Outcome != job.Open }

// Accepted reports whether callers see the job. It returns false for a nil entry.
func (e *Entry) Accepted() bool { return e != nil && e.Spec != nil && !e.Void }

// ResumeProgress returns the progress from which a new owner continues the job. An
// outcome in Summary takes precedence over the one in Progress.
func (e *Entry) ResumeProgress() job.Progress {
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
	// withheld holds which ends of workers must not be acknowledged.
	withheld map[id.Worker]Withheld
	// outage is the latest outage of the store that a host has recorded; the zero
	// value if there is none.
	outage Outage
	// next is the offset of the first record of the job log that was not applied.
	next  id.Offset
	owner Owner
	// formerEpoch is that of the owner before the newest claim; 0 if unknown.
	formerEpoch id.Epoch
	// unreadable holds which records of jobs were rejected as unreadable.
	unreadable unreadable
	// tombstones cancels jobs whose spec may still come. A job that has a spec and
	// is covered by one is cancelled, whichever record came first, and void if the
	// tombstone did.
	tombstones tombstone.Set
	// legacyProgress has the jobs with progress in the job log, where earlier
	// versions write it.
	legacyProgress map[id.Job]bool

	specs     codec.Codec[job.Spec]
	summaries codec.Codec[Summary]
	progress  codec.Codec[packedProgress]
	owners    codec.Codec[Owner]
	waveCodec codec.Codec[Wave]
	outages   codec.Codec[Outage]

	withheldCodec  codec.Codec[Withheld]
	tombstoneCodec codec.Codec[Tombstone]
}

// New returns an empty table.
func New() *Table {
	return &Table{
		jobs:           map[id.Job]*Entry{},
		waves:          map[id.Wave]Wave{},
		legacyProgress: map[id.Job]bool{},
		unreadable:     unreadable{specs: map[id.Job]bool{}, summaries: map[id.Job]bool{}},
		specs:          codec.New[job.Spec](),
		summaries:      codec.New[Summary](),
		progress:       codec.New[packedProgress](),
		owners:         codec.New[Owner](),
		waveCodec:      codec.New[Wave](),
		outages:        codec.New[Outage](),
		withheld:       map[id.Worker]Withheld{},
		withheldCodec:  codec.New[Withheld](),
		tombstoneCodec: codec.New[Tombstone](),
	}
}

// NextOffset returns the offset of the first record of the job log that was not
// applied.
func (t *Table) NextOffset() id.Offset { return t.next }

// Advance records that all records of the job log before the offset next were
// applied. An offset below NextOffset has no effect.
func (t *Table) Advance(next id.Offset) { t.next = max(t.next, next) }

// Owner returns the newest ownership claim.
func (t *Table) Owner() Owner { return t.owner }

// FormerEpoch returns the epoch of the owner before the newest claim, or before the
// newest release; 0 if this table hasn't read it.
func (t *Table) FormerEpoch() id.Epoch { return t.formerEpoch }

// Get returns a job, or nil.
func (t *Table) Get(j id.Job) *Entry { return t.jobs[j] }

// Wave returns the state of a maintenance wave, or false if no owner has
// recorded it.
func (t *Table) Wave(n id.Wave) (Wave, bool) {
	w, ok := t.waves[n]
	return w, ok
}

// Withheld returns which ends of workers must not be acknowledged.
func (t *Table) Withheld() map[id.Worker]Withheld { return maps.Clone(t.withheld) }

// Outage returns the latest outage of the store that a host has recorded; the zero
// value if there is none.
func (t *Table) Outage() Outage { return t.outage }

// Tombstones returns the tombstones. They must not be changed.
func (t *Table) Tombstones() *tombstone.Set { return &t.tombstones }

// Tombstoned returns when a tombstone that cancels a job was written. It reports
// false if there is none. The customer is the one that the job belongs to, and of a
// job without a spec the one that asks.
func (t *Table) Tombstoned(j id.Job, customer id.Customer) (unit.Instant, bool) {
	if e := t.jobs[j]; e != nil && e.Spec != nil {
		customer = e.Spec.Customer
	}
	return t.tombstones.Covering(j, customer)
}

// Jobs returns the names of all jobs in ascending order.
func (t *Table) Jobs() []id.Job { return slices.Sorted(maps.Keys(t.jobs)) }

// QueuedCount returns the number of accepted jobs of a queue that are not cancelled
// and of which no task is known to have begun.
func (t *Table) QueuedCount(q id.Queue) int {
	n := 0
	for _, e := range t.jobs {
		if e.Spec != nil && e.Spec.Queue == q && !e.Cancelled && e.Summary == nil {
			n++
		}
	}
	return n
}

// HasLegacyProgress reports whether the job log has progress of jobs. Hosts of an
// earlier version write it there. A host of this version must not become the
// owner meanwhile: it doesn't read that progress, and would start the tasks
// again.
func (t *Table) HasLegacyProgress() bool { return len(t.legacyProgress) > 0 }

// ApplyProgress applies one record of the progress log.
func (t *Table) ApplyProgress(r Record) error {
	kind, name := splitKey(r.Key)
	switch kind {
	case ownerKey:
		return nil // the owner is taken from the job log
	case progressPrefix:
		return t.applyProgress(id.Job(name), r.Value)
	case wavePrefix:
		return t.applyWave(name, r.Value)
	case withheldPrefix:
		return t.applyWithheld(id.Worker(name), r.Value)
	}
	return fmt.Errorf("%w: %q", ErrUnknownKey, r.Key)
}

// splitKey returns a key's prefix, including the slash, and the name after it.
// For a key without a slash it returns the whole key and no name.
func splitKey(key string) (kind, name string) {
	prefix, name, ok := strings.Cut(key, "/")
	if !ok {
		return key, ""
	}
	return prefix + "/", name
}

// Apply applies one record of the job log, and returns the job that the record
// belongs to, if any.
func (t *Table) Apply(r Record) (id.Job, error) {
	kind, name := splitKey(r.Key)
	j := id.Job(name)
	switch kind {
	case ownerKey:
		return "", t.applyOwner(r.Value)
	case outageKey:
		return "", t.applyOutage(r.Value)
	case specPrefix:
		return j, t.applySpec(j, r.Value)
	case cancelPrefix:
		t.applyCancel(j, r.Value)
		return j, nil
	case summaryPrefix:
		return j, t.applySummary(j, r.Value)
	case tombstonePrefix:
		return t.applyTombstone(name, r.Value)
	case progressPrefix:
		t.applyLegacyProgress(j, r.Value)
		return "", nil
	}
	return "", fmt.Errorf("%w: %q", ErrUnknownKey, r.Key)
}

// applyLegacyProgress records whether the job log has progress of a job, which
// only earlier versions write there. An empty value means that the progress was
// dropped.
func (t *Table) applyLegacyProgress(j id.Job, value []byte) {
	if len(value) == 0 {
		delete(t.legacyProgress, j)
		return
	}
	t.legacyProgress[j] = true
}

// applyOwner applies an ownership claim, unless the table has one with a higher
// or the same epoch.
func (t *Table) applyOwner(value []byte) error {
	o, err := t.owners.Decode(value)
	if err != nil {
		return fmt.Errorf("jobtable: owner: %w", err)
	}
	if o.Epoch > t.owner.Epoch {
		if t.owner.Host != "" {
			t.formerEpoch = t.owner.Epoch // otherwise nobody was the owner in between
		}
		t.owner = o
	}
	return nil
}

// applyWave applies the state of the wave with the number in name.
func (t *Table) applyWave(name string, value []byte) error {
	n, err := strconv.Atoi(name)
	if err != nil {
		return fmt.Errorf("%w: wave %q", ErrUnknownKey, name)
	}
	w, err := t.waveCodec.Decode(value)
	if err != nil {
		return fmt.Errorf("jobtable: wave %d: %w", n, err)
	}
	t.waves[id.Wave(n)] = w
	return nil
}

// applyWithheld applies the record of which ends of a worker must not be
// acknowledged, or removes it if value is empty.
func (t *Table) applyWithheld(w id.Worker, value []byte) error {
	if len(value) == 0 {
		delete(t.withheld, w)
		return nil
	}
	x, err := t.withheldCodec.Decode(value)
	if err != nil {
		return fmt.Errorf("jobtable: withheld ends of %s: %w", w, err)
	}
	t.withheld[w] = x
	return nil
}

// applyOutage applies the latest outage of the store.
func (t *Table) applyOutage(value []byte) error {
	o, err := t.outages.Decode(value)
	if err != nil {
		return fmt.Errorf("jobtable: outage: %w", err)
	}
	t.outage = o
	return nil
}

// entry returns the entry of a job, and adds one if there is none.
func (t *Table) entry(j id.Job) *Entry {
	e := t.jobs[j]
	if e == nil {
		e = &Entry{}
		t.jobs[j] = e
	}
	return e
}

// prune removes the entry of a job if no record of the job is left.
func (t *Table) prune(j id.Job) {
	e := t.jobs[j]
	if e != nil && e.Spec == nil && !e.Cancelled && e.Summary == nil && !e.Progress.Started() {
		delete(t.jobs, j)
	}
}

// applySpec applies the spec of a job, or removes it if value is empty.
func (t *Table) applySpec(j id.Job, value []byte) error {
	if len(value) == 0 {
		delete(t.unreadable.specs, j)
		e := t.entry(j)
		e.Spec, e.Void = nil, false
		t.prune(j)
		return nil
	}
	if e := t.jobs[j]; e != nil && e.Spec != nil {
		return nil // a duplicate of the submission; the first one stays
	}
	s, err := t.specs.Decode(value)
	t.unreadable.note(t.unreadable.specs, j, err)
	if err != nil {
		return fmt.Errorf("jobtable: job %s: %w", j, err)
	}
	e := t.entry(j)
	e.Spec = &s
	_, covered := t.tombstones.Covering(j, s.Customer)
	e.Cancelled, e.Void = e.Cancelled || covered, covered
	return nil
}

// applyCancel applies a cancellation, or removes it if value is empty.
func (t *Table) applyCancel(j id.Job, value []byte) {
	t.entry(j).Cancelled = len(value) > 0
	t.prune(j)
}

// applyTombstone applies the tombstone with a name, or removes it if value is empty.
// It returns the job. A job that an expired or removed tombstone has cancelled stays
// cancelled.
func (t *Table) applyTombstone(name string, value []byte) (id.Job, error) {
	j, err := tombstone.JobOf(name)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnknownKey, err)
	}
	if len(value) == 0 {
		return j, t.tombstones.Drop(name)
	}
	x, err := t.tombstoneCodec.Decode(value)
	if err != nil {
		return "", fmt.Errorf("jobtable: tombstone of %s: %w", j, err)
	}
	if x.Expired {
		t.tombstones.Expire(j, x.Customer, x.Written)
	} else {
		t.tombstones.Put(j, x.Customer, x.Written)
	}
	// The record of the end replaces that of the tombstone, so that a load finds only
	// the former. A job that comes before it was cancelled.
	if e := t.jobs[j]; e != nil && e.Spec != nil && tombstone.Covers(x.Customer, e.Spec.Customer) {
		e.Cancelled = true
	}
	return j, nil
}

// applySummary applies the summary of a job, or removes it if value is empty. An
// outcome is final. A summary without one that follows it is older: a load in
// pages may find the outcome, and the records after its first page come again.
func (t *Table) applySummary(j id.Job, value []byte) error {
	if len(value) == 0 {
		delete(t.unreadable.summaries, j)
		t.entry(j).Summary = nil
		t.prune(j)
		return nil
	}
	s, err := t.summaries.Decode(value)
	t.unreadable.note(t.unreadable.summaries, j, err)
	if err != nil {
		return fmt.Errorf("jobtable: summary of %s: %w", j, err)
	}
	if s.Outcome == job.Open && t.jobs[j].Ended() {
		return nil
	}
	t.entry(j).Summary = &s
	return nil
}

// applyProgress applies the progress of a job, or removes it if value is empty.
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

// ClearProgress removes the progress of all jobs. It keeps the state of waves,
// since a new owner may learn only some time after its takeover of a wave that an
// earlier owner has started, and what is known of withheld ends.
func (t *Table) ClearProgress() {
	for _, j := range t.Jobs() {
		t.jobs[j].Progress = job.Progress{}
		t.prune(j)
	}
}

// CopyProgress copies the progress of jobs, the state of waves and what is known of
// withheld ends from another table.
func (t *Table) CopyProgress(o *Table) {
	t.waves, t.withheld = o.waves, o.withheld
	for j, e := range o.jobs {
		if len(e.Progress.Tasks) > 0 {
			t.entry(j).Progress = e.Progress
		}
	}
}
