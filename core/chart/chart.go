// Package chart interprets state charts that are written in text files.
//
// A chart file holds one transition a line:
//
//	from event to
//
// Blank lines and lines that begin with # are ignored. The line
//
//	start NAME
//
// names the initial state and must come first. A state without a transition out
// of it is final. Code asks the chart for the next state instead of spelling the
// transitions out, so the drawing in the documentation, the test that walks the
// chart and the program can't disagree.
package chart

import (
	"bufio"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Errors that callers test for.
var (
	// ErrSyntax reports a line that is neither a comment, a start nor a transition.
	ErrSyntax = errors.New("chart: syntax error")
	// ErrNoTransition reports an event that the current state doesn't allow.
	ErrNoTransition = errors.New("chart: no transition")
)

// Chart is a finite state machine over states of type S and events of type E.
// It never changes after Parse and is safe for concurrent use.
type Chart[S, E ~string] struct {
	start S
	next  map[edge[S, E]]S
	order []Transition[S, E]
}

// Transition is one line of a chart file.
type Transition[S, E ~string] struct {
	// From and To are states of the chart; Event leads from one to the other.
	From  S
	Event E
	To    S
}

type edge[S, E ~string] struct {
	from  S
	event E
}

// Parse reads a chart. The name appears in errors only.
func Parse[S, E ~string](name, src string) (Chart[S, E], error) {
	c := Chart[S, E]{next: make(map[edge[S, E]]S)}
	sc := bufio.NewScanner(strings.NewReader(src))
	for line := 1; sc.Scan(); line++ {
		if err := c.add(strings.Fields(sc.Text())); err != nil {
			return Chart[S, E]{}, fmt.Errorf("%s:%d: %w", name, line, err)
		}
	}
	if c.start == "" {
		return Chart[S, E]{}, fmt.Errorf("%s: %w: no start", name, ErrSyntax)
	}
	return c, nil
}

// MustParse is Parse for charts that are embedded in the program. It panics on
// a chart that doesn't parse, which the test of the chart catches.
func MustParse[S, E ~string](name, src string) Chart[S, E] {
	c, err := Parse[S, E](name, src)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart[S, E]) add(f []string) error {
	switch {
	case len(f) == 0 || strings.HasPrefix(f[0], "#"):
		return nil
	case len(f) == 2 && f[0] == "start" && c.start == "":
		c.start = S(f[1])
		return nil
	case len(f) != 3 || c.start == "":
		return fmt.Errorf("%w: want FROM EVENT TO after a start", ErrSyntax)
	}
	e := edge[S, E]{S(f[0]), E(f[1])}
	if _, dup := c.next[e]; dup {
		return fmt.Errorf("%w: second transition for %s in %s", ErrSyntax, f[1], f[0])
	}
	c.next[e] = S(f[2])
	c.order = append(c.order, Transition[S, E]{e.from, e.event, S(f[2])})
	return nil
}

// Start returns the initial state.
func (c Chart[S, E]) Start() S { return c.start }

// Next returns the state that ev leads to from s, or ErrNoTransition.
func (c Chart[S, E]) Next(s S, ev E) (S, error) {
	to, ok := c.next[edge[S, E]{s, ev}]
	if !ok {
		return s, fmt.Errorf("%w: %s in state %s", ErrNoTransition, ev, s)
	}
	return to, nil
}

// Final reports whether no event leads out of s.
func (c Chart[S, E]) Final(s S) bool {
	return !slices.ContainsFunc(c.order, func(t Transition[S, E]) bool { return t.From == s })
}

// Transitions returns the transitions in the order of the file. The caller must
// not change them.
func (c Chart[S, E]) Transitions() []Transition[S, E] { return c.order }
