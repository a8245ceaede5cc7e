package tombstone_test

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/tombstone"
	"curlewsill.org/curlewsill/core/unit"
)

// at returns the time some seconds after the beginning.
func at(seconds int) unit.Instant { return unit.Instant(time.Duration(seconds) * time.Second) }

// TestSet plays testdata/set.txt: each line changes a set or checks it. It guards
// against a tombstone that cancels the job of somebody else, or that the deletion of
// an older one removes.
//
//	put JOB CUSTOMER SECOND | drop JOB CUSTOMER SECOND
//	covers JOB CUSTOMER SECOND    when the newest one that cancels the customer's job
//	                              was written; none
//	cancels JOB CUSTOMER SECOND   when the newest one was written that stands for the
//	                              customer's cancelling; none
//	count N
//
// The customer is "any" for a tombstone for any customer, or a job of none.
func TestSet(t *testing.T) {
	var s tombstone.Set
	scripttest.EachLine(t, "set.txt", func(f []string) {
		if f[0] == "count" {
			if strconv.Itoa(s.Len()) != f[1] {
				t.Errorf("%v: %d", f, s.Len())
			}
			return
		}
		j, customer := id.Job(f[1]), id.Customer(strings.TrimPrefix(f[2], "any"))
		second, _ := strconv.Atoi(f[3])
		var got unit.Instant
		var found bool
		switch f[0] {
		case "put":
			s.Put(j, customer, at(second))
			return
		case "drop":
			if err := s.Drop(tombstone.Name(j, customer, at(second))); err != nil {
				t.Errorf("%v: %v", f, err)
			}
			return
		case "covers":
			got, found = s.Covering(j, customer)
		case "cancels":
			got, found = s.Cancels(j, customer)
		default:
			t.Fatalf("unknown command %v", f)
		}
		if found != (f[3] != "none") || found && got != at(second) {
			t.Errorf("%v: got %v, %t", f, got, found)
		}
	})
}

// TestNames guards against names by which a job takes another one's tombstones, and
// against keys that are longer than the store takes.
func TestNames(t *testing.T) {
	const maxKey = 255 - len("tombstone/")
	long := strings.Repeat("/", 64)
	for _, j := range []id.Job{"a", "a/b", "a%2Fb", "*", "a b", "\x00\xff", id.Job(long)} {
		for _, c := range []id.Customer{"", "c", "*", id.Customer(strings.Repeat("c", 1000))} {
			name := tombstone.Name(j, c, at(1e9))
			got, err := tombstone.JobOf(name)
			if err != nil || got != j || !strings.HasPrefix(name, tombstone.Prefix(j)) || len(name) > maxKey {
				t.Errorf("%q of %.10q: %q, %d bytes, of job %q: %v", j, c, name, len(name), got, err)
			}
		}
	}
	for _, name := range []string{"", "a", "a/", "%/x/1", "a%62/x/1"} {
		if j, err := tombstone.JobOf(name); !errors.Is(err, tombstone.ErrName) {
			t.Errorf("%q is taken for a name of %q: %v", name, j, err)
		}
	}
}

// TestFull guards against tombstones without a bound.
func TestFull(t *testing.T) {
	var s tombstone.Set
	for i := range tombstone.Max {
		if s.Full() {
			t.Fatalf("full after %d", i)
		}
		s.Put(id.Job(strconv.Itoa(i)), "c", at(0))
	}
	s.Put("0", "c", at(1))
	if !s.Full() || s.Len() != tombstone.Max {
		t.Errorf("%d tombstones, full: %t", s.Len(), s.Full())
	}
}
