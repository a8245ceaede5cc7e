// Package chart implements state machines that are defined in text files.
//
// A chart file holds one transition per line:
//
//	from event to
//
// Blank lines and lines that begin with # are ignored. The line
//
//	start NAME
//
// names the initial state and must come before all transitions. A state without
// outgoing transitions is final. The code looks up the next state in the chart
// instead of encoding the transitions itself, so the drawing in the
// documentation, the test of the chart and the program can't disagree.
package chart

import (
	"bufio"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Errors that callers may test for.
var (
	// ErrSyntax reports a line that is neither a comment, a start line nor a
	// transition.
	ErrSyntax = errors.New("chart: syntax error")
	// ErrNoTransition reports an event that the current state doesn't allow.
	ErrNoTransition = errors.New("chart: no transition")
)

// Chart is a finite state machine over states of type S and events of type E.
// It never changes after Parse and is safe for concurrent use.
type Chart[S, E ~string] struct {
	start       S
	next        map[edge[S, E]]S
	transitions []Transition[S, E]
}

// Transition is one line of a chart file.
type Transition[S, E ~string] struct {
	// From and To are states of the chart; Event leads from From to To.
	From  S
	Event E
	To    S
}

type edge[S, E ~string] struct {
	from  S
	event E
}

// Parse parses a chart. The name is used only in errors.
func Parse[S, E ~string](name, src string) (Chart[S, E], error) {
	c := Chart[S, E]{next: make(map[edge[S, E]]S)}
	sc := bufio.NewScanner(strings.NewReader(src))
	for line := 1; sc.Scan(); line++ {
		if err := c.add(strings.Fields(sc.Text())); err != nil {
			return Chart[S, E]{}, fmt.Errorf("%s:%d: %w", name, line, err)
		}
	}
	if c.start == "" {
		return Chart[S, E]{}, fmt.Errorf("%s: %w: the line start NAME is missing", name, ErrSyntax)
	}
	return c, nil
}

// MustParse is like Parse, but panics if the chart has an error. It is meant
// for charts that are embedded in the program, all of which a test parses.
func MustParse[S, E ~string](name, src string) Chart[S, E] {
	c, err := Parse[S, E](name, src)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart[S, E]) add(fields []string) error {
	switch {
	case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		return nil
	case len(fields) == 2 && fields[0] == "start" && c.start == "":
		c.start = S(fields[1])
		return nil
	case len(fields) != 3 || c.start == "":
		return fmt.Errorf("%w: want FROM EVENT TO, after one line start NAME", ErrSyntax)
	}
	e := edge[S, E]{S(fields[0]), E(fields[1])}
	if _, exists := c.next[e]; exists {
		return fmt.Errorf("%w: second transition for %s in %s", ErrSyntax, fields[1], fields[0])
	}
	c.next[e] = S(fields[2])
	c.transitions = append(c.transitions, Transition[S, E]{e.from, e.event, S(fields[2])})
	return nil
}

// Start returns the initial state.
func (c Chart[S, E]) Start() S { return c.start }

// Next returns the state to which ev leads from s. If there is no such
// transition, it returns s and ErrNoTransition.
func (c Chart[S, E]) Next(s S, ev E) (S, error) {
	to, ok := c.next[edge[S, E]{s, ev}]
	if !ok {
		return s, fmt.Errorf("%w: %s in state %s", ErrNoTransition, ev, s)
	}
	return to, nil
}

// Final reports whether s has no outgoing transition.
func (c Chart[S, E]) Final(s S) bool {
	return !slices.ContainsFunc(c.transitions, func(t Transition[S, E]) bool { return t.From == s })
}

// Transitions returns the transitions in the order of the file. The caller must
// not modify the slice.
func (c Chart[S, E]) Transitions() []Transition[S, E] { return c.transitions }
