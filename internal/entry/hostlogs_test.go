package entry_test

import (
	"bytes"
	"os"
	"path"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// hostLogs collects the log lines of a script's hosts, and writes them to a
// file if the script fails.
type hostLogs struct {
	log *zap.Logger

	mu    sync.Mutex
	lines bytes.Buffer
}

// newHostLogs returns logs that are written to a file if the test has failed at
// its end.
func newHostLogs(t *testing.T) *hostLogs {
	l := &hostLogs{}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	l.log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.AddSync(l), zap.DebugLevel))
	t.Cleanup(func() {
		if t.Failed() {
			l.save(t)
		}
	})
	return l
}

// Write implements io.Writer.
func (l *hostLogs) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

// save writes all lines to a new file and reports its path.
func (l *hostLogs) save(t *testing.T) {
	f, err := os.CreateTemp("", path.Base(t.Name())+"-*.log")
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = f.Close() }()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := f.Write(l.lines.Bytes()); err != nil {
		t.Error(err)
		return
	}
	t.Logf("the hosts' logs are in %s", f.Name())
}
