// Package backlog holds the jobs that wait, sorted into groups of jobs that are alike.
//
// The jobs of a group belong to one customer and ask for the same, so if the first
// can't be placed, none can. A walk over the queue looks at groups and not at jobs, and
// its cost doesn't grow with the backlog.
package backlog

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/unit"
)

// Class is what the jobs of a group have in common.
type Class struct {
	Customer     id.Customer
	Accelerators int
	Cores        int
	Memory       unit.Bytes
	Once, Urgent bool
	// Length is the binary order of magnitude of the declared time in seconds.
	Length int
	// Alone is set for a job that is like no other, because it has crashed on
	// some workers.
	Alone id.Job
}

// Group is the waiting jobs of one class, oldest first.
type Group struct {
	Class Class
	// Jobs is never empty for a group in a queue.
	Jobs []record.Job
	// Failed is the inventory's Room at which the first job found no place, plus one.
	Failed uint64
	// Checked is the configuration, plus one, for which the class was found able
	// to run.
	Checked id.Offset
}

// Head returns the oldest job.
func (l *Group) Head() record.Job { return l.Jobs[0] }

// Backlog is all groups. It is not safe for concurrent use.
type Backlog struct {
	groups map[Class]*Group
	where  map[id.Job]Class
}

// New returns an empty queue.
func New() *Backlog {
	return &Backlog{groups: map[Class]*Group{}, where: map[id.Job]Class{}}
}

// Len returns the number of jobs.
func (q *Backlog) Len() int { return len(q.where) }

// Has reports whether the job waits.
func (q *Backlog) Has(j id.Job) bool {
	_, ok := q.where[j]
	return ok
}

// Add adds a job to its group, or to a group of its own. A job that waits already stays
// where it is.
func (q *Backlog) Add(j record.Job, alone bool) {
	if q.Has(j.ID) {
		return
	}
	c := Class{
		Customer: j.Customer, Accelerators: j.Accelerators, Cores: j.Cores, Memory: j.Memory,
		Once: j.Once, Urgent: j.Urgent, Length: bits.Len64(uint64(max(j.Declared, 0) / time.Second)),
	}
	if alone {
		c.Alone = j.ID
	}
	l := q.groups[c]
	if l == nil {
		l = &Group{Class: c}
		q.groups[c] = l
	}
	at, _ := slices.BinarySearchFunc(l.Jobs, j, Older)
	l.Jobs = slices.Insert(l.Jobs, at, j)
	q.where[j.ID] = c
	l.Failed = 0
}

// Remove takes a job out, if it waits.
func (q *Backlog) Remove(name id.Job) {
	c, ok := q.where[name]
	if !ok {
		return
	}
	delete(q.where, name)
	l := q.groups[c]
	at := slices.IndexFunc(l.Jobs, func(j record.Job) bool { return j.ID == name })
	l.Jobs = slices.Delete(l.Jobs, at, at+1)
	if len(l.Jobs) == 0 {
		delete(q.groups, c)
	}
}

// Groups returns all groups: urgent ones first, then by the age of their oldest job.
func (q *Backlog) Groups() []*Group {
	out := make([]*Group, 0, len(q.groups))
	for _, l := range q.groups {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *Group) int {
		if a.Class.Urgent != b.Class.Urgent {
			if a.Class.Urgent {
				return -1
			}
			return 1
		}
		return Older(a.Head(), b.Head())
	})
	return out
}

// Older compares jobs by age, and by name if they are of the same age.
func Older(a, b record.Job) int {
	return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
}
