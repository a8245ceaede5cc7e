package logging

import (
	"cmp"
	"slices"
	"sync"

	"go.uber.org/zap/zapcore"
)

// leftOut counts lines that were not written, by their messages. Its zero value is ready, and it is safe for concurrent use.
type leftOut struct {
	mu sync.Mutex
	// counts holds the messages of which lines were left out since take was called.
	counts []leftCount
}

// leftCount is how many lines of a message were left out.
type leftCount struct {
	message string
	lines   int
}

// note takes in what the sampler has decided on a line.
func (l *leftOut) note(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.counts, func(c leftCount) bool { return c.message == e.Message })
	if i < 0 {
		l.counts = append(l.counts, leftCount{message: e.Message})
		i = len(l.counts) - 1
	}
	l.counts[i].lines++
}

// take returns the counts since it was last called, by message, and begins anew.
func (l *leftOut) take() []leftCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	l.counts = nil
	slices.SortFunc(out, func(a, b leftCount) int { return cmp.Compare(a.message, b.message) })
	return out
}
