package dispatch

import (
	"slices"

	"curlewsill.org/curlewsill/core/job"
)

// The crash counts are part of the job's progress record, keyed by the position
// of the task.

// anyCrashCount reports whether the crash count of a task, or of any member of
// its gang, satisfies the predicate match. Members count because a gang starts
// and stops as a whole.
func (s *stepState) anyCrashCount(index int, match func(job.CrashCount) bool) bool {
	for _, c := range s.job.progress.Crashes {
		if s.startsWith(index, c.Task) && match(c) {
			return true
		}
	}
	return false
}

// startsWith reports whether two tasks always start together. index is the
// first one's index in the step, position the second one's position in the
// job's progress. They start together if they are the same task or members of
// one gang.
func (s *stepState) startsWith(index, position int) bool {
	if s.step.Gang {
		return position >= s.base && position < s.base+s.step.Count
	}
	return position == s.base+index
}

// resetEarlyCrashes resets the count of crashes soon after the start, for a
// task or all members of its gang.
func (s *stepState) resetEarlyCrashes(index int) {
	all := s.job.progress.Crashes
	for i := range all {
		if s.startsWith(index, all[i].Task) {
			all[i].Early = 0
		}
	}
}

// crashCount returns the crash count of a task, or nil if no worker has crashed
// under it. The pointer is valid until a count is added or removed. Members of
// a gang are counted separately: a gang of 64 meets as many unrelated crashes
// as 64 tasks do, and a member that crashes workers does so in every run.
func (s *stepState) crashCount(index int) *job.CrashCount {
	all := s.job.progress.Crashes
	for i := range all {
		if all[i].Task == s.base+index {
			return &all[i]
		}
	}
	return nil
}

// addCrashCount returns the crash count of a task, and adds an empty one if
// there is none.
func (s *stepState) addCrashCount(index int) *job.CrashCount {
	if c := s.crashCount(index); c != nil {
		return c
	}
	p := &s.job.progress
	p.Crashes = append(p.Crashes, job.CrashCount{Task: s.base + index})
	return &p.Crashes[len(p.Crashes)-1]
}

// dropCrashes removes the crash count of a task, or those of all members of its
// gang. The caller must mark the job as changed.
func (s *stepState) dropCrashes(index int) {
	p := &s.job.progress
	p.Crashes = slices.DeleteFunc(p.Crashes, func(c job.CrashCount) bool { return s.startsWith(index, c.Task) })
}

// dropCrash removes the crash count of the task at a position.
func (s *stepState) dropCrash(position int) {
	p := &s.job.progress
	p.Crashes = slices.DeleteFunc(p.Crashes, func(c job.CrashCount) bool { return c.Task == position })
}
