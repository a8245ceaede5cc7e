package entry

import (
	"context"
	"sync"
)

// sharedRead lets calls share the reads by which they bring the table of jobs up
// to date: a read of its own for each of many callers would use up the calls that
// the store allows all hosts. Each call gets the result of a read that was sent
// after the call came. It is safe for concurrent use; the zero value is ready.
type sharedRead struct {
	mu sync.Mutex
	// reading is set while a read is in flight. next is the read that follows it,
	// for the calls that came meanwhile; nil if there are none.
	reading bool
	next    *pendingRead
}

// pendingRead is a read that hasn't ended. done is closed once result is set.
type pendingRead struct {
	done   chan struct{}
	result staleReason
}

// join returns the result of a read that begins now, or once the one in flight
// has ended. It returns readFailed if ctx ends before.
func (s *sharedRead) join(ctx context.Context, read func() staleReason) staleReason {
	s.mu.Lock()
	if s.next == nil {
		s.next = &pendingRead{done: make(chan struct{})}
	}
	joined := s.next
	if !s.reading {
		s.reading = true
		go s.run(read)
	}
	s.mu.Unlock()
	select {
	case <-joined.done:
		return joined.result
	case <-ctx.Done():
		return readFailed
	}
}

// run reads for as long as calls wait.
func (s *sharedRead) run(read func() staleReason) {
	for {
		s.mu.Lock()
		current := s.next
		s.next = nil
		s.reading = current != nil
		s.mu.Unlock()
		if current == nil {
			return
		}
		current.result = read()
		close(current.done)
	}
}
