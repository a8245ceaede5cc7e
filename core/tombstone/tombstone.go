// Package tombstone holds the cancellations of jobs that the job log doesn't have.
//
// The submission of such a job may still be on its way to the log, for longer than
// any call lasts. A tombstone cancels the job whenever it comes, until the log has a
// record that the tombstone has expired. Its key is deleted only later: until then
// the host of a submission can tell on which side of that record the job is.
package tombstone

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// Max is how many tombstones there may be. Further ones must be refused.
	Max = 32_768
	// Retention is how long a tombstone is kept. It has to be longer than a
	// submission may be on its way.
	Retention = 60 * time.Second
	// Linger is how long the key of an expired tombstone is kept. It has to be longer
	// than a call lasts after its record is stored.
	Linger = 10 * time.Second
	// renewAfter is the age from which another cancellation writes a tombstone anew.
	renewAfter = Retention / 2
)

// digestSize is the number of bytes by which a name tells customers apart.
const digestSize = 8

// anyone stands for all customers in a name.
const anyone = "*"

// ErrName reports a text that isn't the name of a tombstone.
var ErrName = errors.New("tombstone: invalid name")

// Set is a set of tombstones. The zero value is empty.
type Set struct {
	marks map[id.Job][]mark
	// count is the number of marks of all jobs.
	count int
}

// mark is a tombstone of a job.
type mark struct {
	// customer is the customer whose job is cancelled; empty for any customer.
	customer id.Customer
	// written is when the job was cancelled, by the clock of the host that did.
	written unit.Instant
	// expired is set if the mark cancels nothing any more.
	expired bool
}

// Name returns the name of a tombstone, which has no more bytes than a key may have.
// All names of a job begin with Prefix. A cancellation that follows an outdated
// tombstone has another name: if it had the same one, the deletion of the old
// tombstone could delete the new one.
func Name(j id.Job, customer id.Customer, written unit.Instant) string {
	owner := anyone
	if customer != "" {
		sum := sha256.Sum256([]byte(customer))
		owner = hex.EncodeToString(sum[:digestSize])
	}
	return Prefix(j) + owner + "/" + strconv.FormatInt(period(written), 10)
}

// period returns the number of the period, of the length renewAfter, that a time is
// in.
func period(at unit.Instant) int64 { return int64(at) / int64(renewAfter) }

// Prefix returns what the names of all tombstones of a job begin with, and no name
// of another job.
func Prefix(j id.Job) string { return url.PathEscape(string(j)) + "/" }

// JobOf returns the job that a name belongs to. It returns ErrName if the text is
// no name.
func JobOf(name string) (id.Job, error) {
	escaped, owner, ok := strings.Cut(name, "/")
	j, err := url.PathUnescape(escaped)
	if !ok || err != nil || owner == "" || Prefix(id.Job(j)) != escaped+"/" {
		return "", fmt.Errorf("%w: %q", ErrName, name)
	}
	return id.Job(j), nil
}

// Covers reports whether a tombstone for one customer cancels a job of another one.
// Both are the same customer, or one of them is empty: that of a tombstone for any
// customer, or of a job that belongs to none.
func Covers(tombstone, owner id.Customer) bool {
	return tombstone == "" || owner == "" || tombstone == owner
}

// Outdated reports whether a tombstone that was written at a time lasts too short to
// stand for a cancellation now.
func Outdated(now, written unit.Instant) bool { return now.Sub(written) > renewAfter }

// Put adds a tombstone, or replaces the one with the same name.
func (s *Set) Put(j id.Job, customer id.Customer, written unit.Instant) {
	s.put(j, mark{customer: customer, written: written})
}

// Expire records that a tombstone cancels nothing that comes from now on.
func (s *Set) Expire(j id.Job, customer id.Customer, written unit.Instant) {
	s.put(j, mark{customer: customer, written: written, expired: true})
}

// put adds a mark, or replaces the one with the same name.
func (s *Set) put(j id.Job, x mark) {
	if s.marks == nil {
		s.marks = map[id.Job][]mark{}
	}
	for i, m := range s.marks[j] {
		if m.customer == x.customer && period(m.written) == period(x.written) {
			x.written = max(m.written, x.written)
			s.marks[j][i] = x
			return
		}
	}
	s.marks[j] = append(s.marks[j], x)
	s.count++
}

// Drop removes the tombstone with a name, if there is one.
func (s *Set) Drop(name string) error {
	j, err := JobOf(name)
	if err != nil {
		return err
	}
	before := len(s.marks[j])
	rest := slices.DeleteFunc(s.marks[j], func(m mark) bool { return Name(j, m.customer, m.written) == name })
	s.count -= before - len(rest)
	if len(rest) == 0 {
		delete(s.marks, j)
		return nil
	}
	s.marks[j] = rest
	return nil
}

// Covering returns when a tombstone that cancels a job of a customer was written,
// the latest one if there are several. It reports false if there is none.
func (s *Set) Covering(j id.Job, customer id.Customer) (unit.Instant, bool) {
	var written unit.Instant
	found := false
	for _, m := range s.marks[j] {
		if !m.expired && Covers(m.customer, customer) {
			written, found = max(written, m.written), true
		}
	}
	return written, found
}

// Cancels returns when the tombstone was written that a cancellation by a customer
// would add nothing to: the customer's own or one for any customer. It reports false
// if there is none.
func (s *Set) Cancels(j id.Job, customer id.Customer) (unit.Instant, bool) {
	var written unit.Instant
	found := false
	for _, m := range s.marks[j] {
		if !m.expired && (m.customer == "" || m.customer == customer) {
			written, found = max(written, m.written), true
		}
	}
	return written, found
}

// Len returns the number of tombstones, expired ones included.
func (s *Set) Len() int { return s.count }

// Full reports whether there are as many tombstones as there may be.
func (s *Set) Full() bool { return s.count >= Max }

// Each calls do for each tombstone, in the order of the jobs.
func (s *Set) Each(do func(j id.Job, customer id.Customer, written unit.Instant, expired bool)) {
	for _, j := range slices.Sorted(maps.Keys(s.marks)) {
		for _, m := range s.marks[j] {
			do(j, m.customer, m.written, m.expired)
		}
	}
}
