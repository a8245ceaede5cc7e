package logging_test

import (
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/logging"
)

// blockedWriter is an output of the log that blocks until free is closed.
type blockedWriter struct {
	free chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *blockedWriter) read() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestStuckReader logs more lines than the queue holds while the output is blocked. No
// call may block, and once the output accepts lines again, a line reports how many
// were lost.
func TestStuckReader(t *testing.T) {
	for _, f := range []logging.Format{logging.JSON, logging.Console} {
		t.Run(string(f), func(t *testing.T) { stuckReader(t, f) })
	}
}

func stuckReader(t *testing.T, f logging.Format) {
	const lines = 20000
	out := &blockedWriter{free: make(chan struct{})}
	log, err := logging.NewStream(out, "info", f)
	if err != nil {
		t.Fatal(err)
	}
	for i := range lines {
		log.Info("line", zap.Int("n", i))
		// Many different messages, so that the sampler drops few of them.
		log.Info(strings.Repeat("x", i%97+1) + strings.Repeat("y", i%89))
	}
	close(out.free)
	for !strings.Contains(out.read(), "log-lines-lost") {
		log.Info("after")
	}
	before, _, _ := strings.Cut(out.read(), "log-lines-lost")
	line := before[strings.LastIndex(before, "\n")+1:]
	if isJSON := strings.HasPrefix(line, "{"); isJSON != (f == logging.JSON) {
		t.Errorf("the line that reports lost lines begins with %q", line)
	}
}

// TestLeftOut logs more lines with one message than the sampler keeps in a second, and
// one line with another message. Lines must report how many lines of which message
// were dropped.
//
// It guards against sampling without a report. With 1,100 workers, about 600 tasks
// start and as many end in a second. In the failure seen, the sampler kept one in 50
// of the lines beyond 400 and reported nothing, so that the log seemed to show that a
// task hadn't started.
func TestLeftOut(t *testing.T) {
	const lines = 5000
	out := &blockedWriter{free: make(chan struct{})}
	close(out.free)
	log, err := logging.NewStream(out, "info", logging.JSON)
	if err != nil {
		t.Fatal(err)
	}
	logged := 0
	logMany := func() {
		for range lines {
			log.Info("many")
		}
		logged += lines
	}
	logMany()
	log.Info("few")
	reportLine := regexp.MustCompile(`"msg":"log-lines-left-out","of":"(\w+)","count":(\d+)}`)
	for omitted := 0; omitted == 0 || omitted+strings.Count(out.read(), `"msg":"many"`) < logged; time.Sleep(20 * time.Millisecond) {
		if omitted = 0; strings.Contains(out.read(), "log-lines-lost") {
			t.Fatal("the queue has lost lines")
		}
		for _, m := range reportLine.FindAllStringSubmatch(out.read(), -1) {
			n, err := strconv.Atoi(m[2])
			if err != nil || m[1] != "many" {
				t.Fatalf("unexpected report of dropped lines %s, %v", m[0], err)
			}
			omitted += n
		}
		if omitted == 0 {
			logMany() // a busy machine may have logged fewer lines in a second than the sampler keeps
		}
	}
	if omitted := logged - strings.Count(out.read(), `"msg":"many"`); omitted <= 0 {
		t.Errorf("%d lines were dropped of %d", omitted, logged)
	}
}

// TestLevel checks that an unknown level is rejected.
func TestLevel(t *testing.T) {
	if _, err := logging.NewStream(&blockedWriter{}, "loud", logging.JSON); err == nil {
		t.Error("the unknown level was accepted")
	}
}
