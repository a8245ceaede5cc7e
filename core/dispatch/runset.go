package dispatch

import (
	"cmp"
	"slices"

	"curlewsill.org/curlewsill/core/job"
)

// runSet holds the runs of one worker sorted by task, at most one for each
// task, so that every host iterates in the same order. A worker has a few dozen
// at most. The zero value is empty.
type runSet []*run

// find returns the index of a task's run and true, or the index at which to
// insert it and false.
func (s runSet) find(t job.TaskID) (int, bool) {
	return slices.BinarySearchFunc(s, t, func(r *run, t job.TaskID) int { return compareTasks(r.task, t) })
}

// get returns the run of a task, or nil.
func (s runSet) get(t job.TaskID) *run {
	at, ok := s.find(t)
	if !ok {
		return nil
	}
	return s[at]
}

// put adds a run, replacing the one of the same task.
func (s *runSet) put(r *run) {
	at, ok := s.find(r.task)
	if ok {
		(*s)[at] = r
		return
	}
	*s = slices.Insert(*s, at, r)
}

// remove removes the run of a task, if there is one.
func (s *runSet) remove(t job.TaskID) {
	if at, ok := s.find(t); ok {
		*s = slices.Delete(*s, at, at+1)
	}
}

// compareTasks orders tasks by job, round, step and index.
func compareTasks(a, b job.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index),
	)
}
