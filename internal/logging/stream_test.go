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

// TestLeftOut logs more lines with one message than are kept in a second, and a few with another: a line tells how many of which were left out.
//
// On 1,100 workers some 600 tasks start in a second and as many end. Beyond 400 lines one in 50 was kept and nothing told so, so that a start that was
// looked for seemed not to have happened.
func TestLeftOut(t *testing.T) {
	const lines = 5000
	out := &stuck{free: make(chan struct{})}
	close(out.free)
	log, err := logging.NewStream(out, "info", logging.JSON)
	if err != nil {
		t.Fatal(err)
	}
	for range lines {
		log.Info("many")
		time.Sleep(10 * time.Microsecond) // the reader keeps up
	}
	log.Info("few")
	told := regexp.MustCompile(`"msg":"log-lines-left-out","of":"(\w+)","count":(\d+)}`)
	for left := 0; left == 0 || left+strings.Count(out.read(), `"msg":"many"`) < lines; time.Sleep(time.Millisecond) {
		left = 0
		for _, m := range told.FindAllStringSubmatch(out.read(), -1) {
			n, err := strconv.Atoi(m[2])
			if err != nil || m[1] != "many" {
				t.Fatalf("%s, %v", m[0], err)
			}
			left += n
		}
	}
}

// TestLevel refuses a level that there isn't.
func TestLevel(t *testing.T) {
	if _, err := logging.NewStream(&stuck{}, "loud", logging.JSON); err == nil {
		t.Error("the level was taken")
	}
}
