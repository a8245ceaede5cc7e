package state

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
)

var jobChart = chart.MustParse[JobState, record.Outcome]("job.chart", charts.Read("job"))

// Events of the job's state chart that aren't outcomes.
const (
	eventPlace  record.Outcome = "place"
	eventCancel record.Outcome = "cancel"
)

// ApplyResult is the result of applying one record.
type ApplyResult struct {
	Offset id.Offset
	// Batch is the zero batch if the record was damaged or was applied before.
	Batch record.Batch
	// Verdicts has one element for each entry of Batch; nil means accepted.
	Verdicts []error
	// Damaged is set if the record held no valid batch.
	Damaged error
}

// Apply applies the record at offset off. Records that were applied before are
// skipped. The returned error is ErrGap or record.ErrUnknown; in both cases the
// state is unchanged and the host must stop making decisions.
func (s *State) Apply(off id.Offset, raw []byte) (ApplyResult, error) {
	if off <= s.Applied {
		return ApplyResult{Offset: off}, nil
	}
	if off != s.Applied+1 {
		return ApplyResult{}, fmt.Errorf("%w: have %d, got %d", ErrGap, s.Applied, off)
	}
	b, err := record.Decode(raw)
	if errors.Is(err, record.ErrUnknown) {
		return ApplyResult{}, fmt.Errorf("offset %d: %w", off, err)
	}
	s.Applied = off
	s.prune()
	if err != nil {
		return ApplyResult{Offset: off, Damaged: err}, nil
	}
	return s.applyBatch(b), nil
}

func (s *State) applyBatch(b record.Batch) ApplyResult {
	a := ApplyResult{Offset: s.Applied, Batch: b, Verdicts: make([]error, len(b.Entries))}
	if err := s.admit(b); err != nil {
		for i := range a.Verdicts {
			a.Verdicts[i] = err
		}
		return a
	}
	for i, e := range b.Entries {
		a.Verdicts[i] = s.applyEntry(e)
	}
	return a
}

// admit reports why a whole batch is void, or records it as the last one of its
// writer.
func (s *State) admit(b record.Batch) error {
	if b.BasisOffset+Window < s.Applied {
		return ErrLate
	}
	writer := WriterID{b.Host, b.Incarnation}
	if b.Seq <= s.Writers[writer].Seq {
		return ErrDuplicate
	}
	s.Writers[writer] = Writer{Seq: b.Seq, Last: s.Applied}
	return nil
}

func (s *State) applyEntry(e record.Entry) error {
	switch {
	case e.Claim != nil:
		return s.claim(*e.Claim)
	case e.Configure != nil:
		return s.configure(*e.Configure)
	case e.Submit != nil:
		return s.submit(e.Submit.Job)
	case e.Cancel != nil:
		return s.cancel(e.Cancel.Job)
	case e.Place != nil:
		return s.place(*e.Place)
	case e.End != nil:
		return s.end(*e.End)
	case e.ClaimKey != nil:
		return s.claimKey(*e.ClaimKey)
	case e.ReleaseKey != nil:
		return s.releaseKey(*e.ReleaseKey)
	}
	// Snapshots are used by package recovery only; they don't change the state.
	return nil
}

func (s *State) claim(c record.Claim) error {
	if c.Replaces != s.Owner.Epoch {
		return ErrStaleEpoch
	}
	s.Owner = Owner{Host: c.Host, Epoch: id.Epoch(s.Applied)}
	return nil
}

func (s *State) configure(c record.Configure) error {
	if c.Basis != s.ConfigAt {
		return ErrStalePlan
	}
	next, err := s.Config.Apply(c.Changes)
	if err != nil {
		return err
	}
	newWitness, err := s.CheckConfig(next)
	if err != nil {
		return err
	}
	s.Config, s.ConfigAt, s.Witness = next, s.Applied, newWitness
	return nil
}

func (s *State) submit(j record.Job) error {
	if _, ok := s.Jobs[j.ID]; ok {
		return ErrJobExists
	}
	if len(s.Jobs)-len(s.ended) >= maxJobs {
		return fmt.Errorf("%w: %d jobs", ErrFull, maxJobs)
	}
	s.Jobs[j.ID] = &Job{Spec: j, State: jobChart.Start(), Changed: s.Applied}
	return nil
}

func (s *State) cancel(name id.Job) error {
	j, ok := s.Jobs[name]
	if !ok {
		return ErrNoJob
	}
	return s.step(j, eventCancel)
}

func (s *State) place(p record.Place) error {
	if p.Epoch != s.Owner.Epoch {
		return ErrStaleEpoch
	}
	j, ok := s.Jobs[p.Job]
	switch {
	case !ok:
		return ErrNoJob
	case p.Attempt != j.Attempt+1:
		return fmt.Errorf("%w: attempt %d, want %d", ErrJobState, p.Attempt, j.Attempt+1)
	case j.Spec.AtMostOnce && p.Attempt > 1:
		return ErrNotRepeatable
	}
	newWitness, err := s.CheckPlace(p)
	if err != nil {
		return err
	}
	if err := s.step(j, eventPlace); err != nil {
		return err
	}
	j.Attempt, j.Lease, j.Block, j.Cell, j.Home = p.Attempt, p.Lease, p.Block, p.Cell, p.Home
	s.Witness = newWitness
	return nil
}

func (s *State) end(e record.End) error {
	if e.Epoch != s.Owner.Epoch {
		return ErrStaleEpoch
	}
	j, ok := s.Jobs[e.Job]
	switch {
	case !ok:
		return ErrNoJob
	case e.Attempt != j.Attempt:
		return fmt.Errorf("%w: attempt %d, want %d", ErrJobState, e.Attempt, j.Attempt)
	case e.Outcome == record.Requeued && j.Spec.AtMostOnce:
		return ErrNotRepeatable
	case e.Outcome == eventPlace || e.Outcome == eventCancel:
		return fmt.Errorf("%w: %s is not an outcome", ErrJobState, e.Outcome)
	}
	if err := s.step(j, e.Outcome); err != nil {
		return err
	}
	j.Reason = e.Reason
	return nil
}

// step advances the state chart of a job by an event.
func (s *State) step(j *Job, ev record.Outcome) error {
	to, err := jobChart.Next(j.State, ev)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrJobState, err)
	}
	from := j.State
	j.State, j.Changed = to, s.Applied
	if to == Running {
		s.running[j.Spec.ID] = j
	}
	if from == Running {
		delete(s.running, j.Spec.ID)
		s.releaseHome(j)
	}
	if jobChart.Final(to) {
		s.ended = append(s.ended, j.Spec.ID)
	}
	return nil
}

func (s *State) claimKey(o record.KeyClaim) error {
	k := Key{o.Customer, o.Key}
	if _, ok := s.Keys[k]; ok {
		return ErrKeyTaken
	}
	if len(s.Keys) >= maxKeys {
		return fmt.Errorf("%w: %d keys", ErrFull, maxKeys)
	}
	s.Keys[k] = KeyHolder{Host: o.Host, Request: o.Request, At: s.Applied}
	s.keyOrder = append(s.keyOrder, k)
	return nil
}

func (s *State) releaseKey(o record.KeyClaim) error {
	k := Key{o.Customer, o.Key}
	c := s.Keys[k]
	if c.Host != o.Host || c.Request != o.Request {
		return ErrKeyTaken
	}
	delete(s.Keys, k)
	s.keyOrder = slices.DeleteFunc(s.keyOrder, func(x Key) bool { return x == k })
	return nil
}

// pruneWritersEvery is the number of records between two removals of old writers.
const pruneWritersEvery = 1024

// prune removes keys, ended jobs and writers that exceed the bounds of the state.
func (s *State) prune() {
	for len(s.keyOrder) > 0 && s.Keys[s.keyOrder[0]].At+Window < s.Applied {
		delete(s.Keys, s.keyOrder[0])
		s.keyOrder = s.keyOrder[1:]
	}
	for len(s.ended) > maxEnded {
		delete(s.Jobs, s.ended[0])
		s.ended = s.ended[1:]
	}
	if s.Applied%pruneWritersEvery != 0 {
		return
	}
	// A batch of a removed writer may appear in the log again. Its sequence
	// number is forgotten, but its basis is then older than Window, so the
	// batch is void.
	maps.DeleteFunc(s.Writers, func(_ WriterID, w Writer) bool { return w.Last+2*Window < s.Applied })
}

// sortedWriters returns the keys of s.Writers in ascending order.
func (s *State) sortedWriters() []WriterID {
	return slices.SortedFunc(maps.Keys(s.Writers), func(a, b WriterID) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
