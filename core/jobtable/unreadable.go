package jobtable

import "curlewsill.org/curlewsill/core/id"

// maxUnreadable is how many jobs with unreadable records are known by name.
const maxUnreadable = 10_000

// unreadable holds the jobs whose newest spec or summary was rejected as
// unreadable. Of such a job neither the state is known nor, without a spec, the
// queue.
type unreadable struct {
	specs, summaries map[id.Job]bool
	// unnamed is set once there were more than maxUnreadable. It stays until the
	// table is loaded anew.
	unnamed bool
}

// note records whether a record of a job was readable, in one of the sets of u.
func (u *unreadable) note(set map[id.Job]bool, j id.Job, err error) {
	switch {
	case err == nil:
		delete(set, j)
	case len(set) < maxUnreadable:
		set[j] = true
	case !set[j]:
		u.unnamed = true
	}
}

// Readable reports whether the state of a job can be told: no record of the job was
// rejected as unreadable.
func (t *Table) Readable(j id.Job) bool {
	if t.unreadable.specs[j] || t.unreadable.summaries[j] {
		return false
	}
	e := t.jobs[j]
	return !t.unreadable.unnamed || e != nil && e.Spec != nil && e.Ended()
}

// Countable reports whether the number of waiting jobs of a queue can be told: no
// record that was rejected as unreadable may be of a job of the queue.
func (t *Table) Countable(q id.Queue) bool {
	if t.unreadable.unnamed || len(t.unreadable.specs) > 0 {
		return false
	}
	for j := range t.unreadable.summaries {
		if e := t.jobs[j]; e != nil && e.Spec != nil && e.Spec.Queue == q {
			return false
		}
	}
	return true
}
