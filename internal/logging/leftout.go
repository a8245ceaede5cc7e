package logging

import (
	"cmp"
	"slices"
	"sync"

	"go.uber.org/zap/zapcore"
)

// omissionCounter counts by message the log lines that the sampler has dropped. Its
// zero value is ready to use, and it is safe for concurrent use.
type omissionCounter struct {
	mu sync.Mutex
	// counts has an element for each message of which lines were dropped since the
	// last call of take.
	counts []omissionCount
}

// omissionCount is the number of dropped lines with one message.
type omissionCount struct {
	message string
	lines   int
}

// note counts a line if the sampler dropped it. It is the sampler's hook, which the
// sampler calls with its decision on each line.
func (l *omissionCounter) note(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.counts, func(c omissionCount) bool { return c.message == e.Message })
	if i < 0 {
		l.counts = append(l.counts, omissionCount{message: e.Message})
		i = len(l.counts) - 1
	}
	l.counts[i].lines++
}

// take returns the counts since its last call, sorted by message, and resets them.
func (l *omissionCounter) take() []omissionCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	l.counts = nil
	slices.SortFunc(out, func(a, b omissionCount) int { return cmp.Compare(a.message, b.message) })
	return out
}
