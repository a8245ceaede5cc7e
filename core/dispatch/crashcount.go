package dispatch

import (
	"slices"

	"curlewsill.org/curlewsill/core/job"
)

// The counts of crashes stand in the record of a job, by the positions of its tasks.

// anyCrashes reports whether something is so of the count of a task, or of a member of its gang, which starts and is stopped with it.
func (s *stepState) anyCrashes(index int, so func(job.CrashCount) bool) bool {
	for _, c := range s.job.progress.Crashes {
		if s.startsWith(index, c.Task) && so(c) {
			return true
		}
	}
	return false
}

// startsWith reports whether the task at a position of the job's progress starts with the one of an index: as itself, or in its gang.
func (s *stepState) startsWith(index, position int) bool {
	if s.step.Gang {
		return position >= s.base && position < s.base+s.step.Count
	}
	return position == s.base+index
}

// clearAtOnce takes back what speaks for crashes soon after the start, of a task or all members of its gang.
func (s *stepState) clearAtOnce(index int) {
	all := s.job.progress.Crashes
	for i := range all {
		if s.startsWith(index, all[i].Task) {
			all[i].AtOnce = 0
		}
	}
}

// crashCount returns the count of a task, or nil if no worker has crashed under it. It may be changed until another one is added. Members of a gang
// are counted one by one: a gang of 64 meets as many crashes of other causes as 64 tasks do, and a member that crashes workers does so in each run.
func (s *stepState) crashCount(index int) *job.CrashCount {
	all := s.job.progress.Crashes
	for i := range all {
		if all[i].Task == s.base+index {
			return &all[i]
		}
	}
	return nil
}

// addCrashCount is crashCount for a task that may have no count yet.
func (s *stepState) addCrashCount(index int) *job.CrashCount {
	if c := s.crashCount(index); c != nil {
		return c
	}
	p := &s.job.progress
	p.Crashes = append(p.Crashes, job.CrashCount{Task: s.base + index})
	return &p.Crashes[len(p.Crashes)-1]
}

// dropCrashes forgets the count of a task, or those of its gang. The caller marks the job.
func (s *stepState) dropCrashes(index int) {
	p := &s.job.progress
	p.Crashes = slices.DeleteFunc(p.Crashes, func(c job.CrashCount) bool { return s.startsWith(index, c.Task) })
}

// dropCrash forgets the count at a position.
func (s *stepState) dropCrash(position int) {
	p := &s.job.progress
	p.Crashes = slices.DeleteFunc(p.Crashes, func(c job.CrashCount) bool { return c.Task == position })
}
