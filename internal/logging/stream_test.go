package logging_test

import (
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/logging"
)

// stuck is a reader of the log that reads nothing until it is let go.
type stuck struct {
	free chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stuck) read() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestStuckReader logs more than fits while nobody reads: no call waits, and the lines
// that were lost are told once somebody reads again.
func TestStuckReader(t *testing.T) {
	for _, f := range []logging.Format{logging.JSON, logging.Console} {
		t.Run(string(f), func(t *testing.T) { stuckReader(t, f) })
	}
}

func stuckReader(t *testing.T, f logging.Format) {
	const lines = 20000
	out := &stuck{free: make(chan struct{})}
	log, err := logging.NewStream(out, "info", f)
	if err != nil {
		t.Fatal(err)
	}
	for i := range lines {
		log.Info("line", zap.Int("n", i))
		// Messages of many kinds, so that few are left out as repeats.
		log.Info(strings.Repeat("x", i%97+1) + strings.Repeat("y", i%89))
	}
	close(out.free)
	for !strings.Contains(out.read(), "log-lines-lost") {
		log.Info("after")
	}
	before, _, _ := strings.Cut(out.read(), "log-lines-lost")
	line := before[strings.LastIndex(before, "\n")+1:]
	if isJSON := strings.HasPrefix(line, "{"); isJSON != (f == logging.JSON) {
		t.Errorf("the line on lost ones begins with %q", line)
	}
}

// TestLevel refuses a level that there isn't.
func TestLevel(t *testing.T) {
	if _, err := logging.NewStream(&stuck{}, "loud", logging.JSON); err == nil {
		t.Error("the level was taken")
	}
}
