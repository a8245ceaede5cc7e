// Package logging creates the logger of the process.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"curlewsill.org/curlewsill/internal/ring"
)

const (
	// streamLines is how many lines may be queued for a slow reader of the output: a
	// few seconds of the busiest host's lines.
	streamLines = 4096
	// sampleEvery, sampleFirst and sampleThen limit the lines with the same message.
	// In each period of sampleEvery, the first sampleFirst lines are written, and of
	// the rest only one in sampleThen.
	sampleEvery = time.Second
	sampleFirst = 1000
	sampleThen  = 50
	// flushWait is how long an exiting process waits until its last lines are written.
	flushWait = 200 * time.Millisecond
	// flushPoll is the interval at which Flush checks whether all lines are written.
	flushPoll = 5 * time.Millisecond
)

// Stream is a logger that writes its lines in a separate goroutine. A slow or blocked
// reader of the output never blocks the callers: lines that exceed the queue are
// dropped, and their number is logged before the next line that is written.
type Stream struct {
	*zap.Logger
	lines *ring.Ring[[]byte]
	// omitted counts the lines that the sampler dropped because there were too many
	// with the same message.
	omitted omissionCounter
	// queued and written count lines, so that Flush knows whether any are still
	// unwritten.
	queued, written atomic.Uint64
}

// Format is the format of log lines.
type Format string

// The formats. Console is meant for people to read.
const (
	JSON    Format = "json"
	Console Format = "console"
)

// encoder returns an encoder for the format.
func (f Format) encoder() zapcore.Encoder {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	if f == Console {
		return zapcore.NewConsoleEncoder(c)
	}
	return zapcore.NewJSONEncoder(c)
}

// NewStream returns a logger that writes to out. The level is debug, info, warn or
// error.
func NewStream(out io.Writer, level string, format Format) (*Stream, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logging: %w", err)
	}
	s := &Stream{lines: ring.New[[]byte](streamLines)}
	lines := format.encoder()
	core := zapcore.NewCore(lines, s, l)
	s.Logger = zap.New(zapcore.NewSamplerWithOptions(core, sampleEvery, sampleFirst, sampleThen, zapcore.SamplerHook(s.omitted.note)))
	go s.copy(out, lines.Clone())
	go s.reportOmitted(zap.New(core))
	return s, nil
}

// Write queues one line, or drops it if the queue is full. It implements
// zapcore.WriteSyncer.
func (s *Stream) Write(p []byte) (int, error) {
	if s.lines.Offer(append([]byte(nil), p...)) {
		s.queued.Add(1)
	}
	return len(p), nil
}

// Sync does nothing: lines are written as soon as the reader of the output accepts
// them.
func (s *Stream) Sync() error { return nil }

// Flush waits, for a short time at most, until the queued lines are written.
func (s *Stream) Flush() {
	for end := time.Now().Add(flushWait); s.written.Load() < s.queued.Load() && time.Now().Before(end); {
		time.Sleep(flushPoll)
	}
}

// copy writes the queued lines to out. Before a line it writes how many lines were
// dropped since the last such report.
func (s *Stream) copy(out io.Writer, lines zapcore.Encoder) {
	var reported uint64
	for line := range s.lines.C() {
		if lost := s.lines.Dropped(); lost > reported {
			_, _ = out.Write(lostLine(lines, lost-reported))
			reported = lost
		}
		_, _ = out.Write(line)
		s.written.Add(1)
	}
}

// reportOmitted logs in each sampling period how many lines of each message the
// sampler dropped.
func (s *Stream) reportOmitted(log *zap.Logger) {
	for range time.Tick(sampleEvery) {
		for _, x := range s.omitted.take() {
			log.Info("log-lines-left-out", zap.String("of", x.message), zap.Int("count", x.lines))
		}
	}
}

// lostLine returns an encoded log line that reports the number of dropped lines.
func lostLine(lines zapcore.Encoder, lost uint64) []byte {
	entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log-lines-lost"}
	line, err := lines.EncodeEntry(entry, []zapcore.Field{zap.Uint64("count", lost)})
	if err != nil {
		return nil // the encoders fail only for fields that need reflection
	}
	return line.Bytes()
}
