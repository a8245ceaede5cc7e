// Package backlog holds the waiting jobs, in groups of jobs with the same
// requirements.
//
// All jobs of a group belong to one customer and have the same requirements, so
// if the first can't be placed, none of them can. A scheduling pass iterates
// over groups instead of jobs, so its cost doesn't grow with the number of
// waiting jobs.
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

// Class holds what the jobs of a group have in common.
type Class struct {
	Customer     id.Customer
	Accelerators int
	Cores        int
	Memory       unit.Bytes
	Once, Urgent bool
	// DurationClass is the order of magnitude, in powers of two, of the
	// declared running time: the bit length of this time in seconds.
	DurationClass int
	// SoleJob is the job's ID if the job has a group of its own, because it has
	// crashed on some workers; else empty.
	SoleJob id.Job
}

// Group holds the waiting jobs of one class, oldest first.
type Group struct {
	Class Class
	// Jobs is never empty while the group is in a backlog.
	Jobs []record.Job
	// NoRoomAt is set when the first job couldn't be placed: to the value of
	// inventory.Inventory.FreedCount at that time, plus one. It is 0 if no
	// placement failed.
	NoRoomAt uint64
	// RunnableAt is the offset of the configuration for which the class was
	// last found able to run, plus one; 0 if none.
	RunnableAt id.Offset
}

// Oldest returns the oldest job.
func (g *Group) Oldest() record.Job { return g.Jobs[0] }

// Backlog holds all waiting jobs. It is not safe for concurrent use.
type Backlog struct {
	groups  map[Class]*Group
	classOf map[id.Job]Class
}

// New returns an empty backlog.
func New() *Backlog {
	return &Backlog{groups: map[Class]*Group{}, classOf: map[id.Job]Class{}}
}

// Len returns the number of jobs.
func (q *Backlog) Len() int { return len(q.classOf) }

// Has reports whether the job is in the backlog.
func (q *Backlog) Has(j id.Job) bool {
	_, ok := q.classOf[j]
	return ok
}

// Add adds a job to the group of its class or, if alone is set, to a group of
// its own. It does nothing if the job is in the backlog already.
func (q *Backlog) Add(j record.Job, alone bool) {
	if q.Has(j.ID) {
		return
	}
	c := Class{
		Customer: j.Customer, Accelerators: j.Accelerators, Cores: j.Cores, Memory: j.Memory,
		Once: j.AtMostOnce, Urgent: j.Urgent, DurationClass: bits.Len64(uint64(max(j.Declared, 0) / time.Second)),
	}
	if alone {
		c.SoleJob = j.ID
	}
	g := q.groups[c]
	if g == nil {
		g = &Group{Class: c}
		q.groups[c] = g
	}
	at, _ := slices.BinarySearchFunc(g.Jobs, j, Older)
	g.Jobs = slices.Insert(g.Jobs, at, j)
	q.classOf[j.ID] = c
	g.NoRoomAt = 0
}

// Remove removes a job if it is in the backlog.
func (q *Backlog) Remove(name id.Job) {
	c, ok := q.classOf[name]
	if !ok {
		return
	}
	delete(q.classOf, name)
	g := q.groups[c]
	at := slices.IndexFunc(g.Jobs, func(j record.Job) bool { return j.ID == name })
	g.Jobs = slices.Delete(g.Jobs, at, at+1)
	if len(g.Jobs) == 0 {
		delete(q.groups, c)
	}
}

// Groups returns all groups: urgent ones first, then by the age of their oldest
// job.
func (q *Backlog) Groups() []*Group {
	out := make([]*Group, 0, len(q.groups))
	for _, g := range q.groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *Group) int {
		if a.Class.Urgent != b.Class.Urgent {
			if a.Class.Urgent {
				return -1
			}
			return 1
		}
		return Older(a.Oldest(), b.Oldest())
	})
	return out
}

// Older compares jobs by the time of their submission, then by ID.
func Older(a, b record.Job) int {
	return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
}
