// Package logging makes the process's own log.
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
	// streamLines is how many lines may wait for a slow reader: a few seconds of
	// the busiest host.
	streamLines = 4096
	// sampleEvery, sampleFirst and sampleThen bound repeats: of lines with the
	// same message in one period, the first are kept and then one in so many.
	sampleEvery = time.Second
	sampleFirst = 1000
	sampleThen  = 50
	// flushWait is how long a process that ends waits for its last lines.
	flushWait = 200 * time.Millisecond
	// flushLook is the pause between two looks whether they are written.
	flushLook = 5 * time.Millisecond
)

// Stream is a logger whose lines are written by a goroutine of their own. A reader
// that doesn't read costs lines, never time; the next line that gets through tells
// how many were lost.
type Stream struct {
	*zap.Logger
	lines *ring.Ring[[]byte]
	// left counts the lines that were left out because others with the same message were too many.
	left leftOut
	// written and taken count lines, so that Flush knows what is under way.
	taken, written atomic.Uint64
}

// Format is how a line is written.
type Format string

// The formats. Console is for people.
const (
	JSON    Format = "json"
	Console Format = "console"
)

// encoder returns what writes lines in the format.
func (f Format) encoder() zapcore.Encoder {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	if f == Console {
		return zapcore.NewConsoleEncoder(c)
	}
	return zapcore.NewJSONEncoder(c)
}

// NewStream returns a logger of lines to out. Level is debug, info, warn or error.
func NewStream(out io.Writer, level string, format Format) (*Stream, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logging: %w", err)
	}
	s := &Stream{lines: ring.New[[]byte](streamLines)}
	lines := format.encoder()
	core := zapcore.NewCore(lines, s, l)
	s.Logger = zap.New(zapcore.NewSamplerWithOptions(core, sampleEvery, sampleFirst, sampleThen, zapcore.SamplerHook(s.left.note)))
	go s.copy(out, lines.Clone())
	go s.tellLeftOut(zap.New(core))
	return s, nil
}

// Write queues one line. It implements zapcore.WriteSyncer.
func (s *Stream) Write(p []byte) (int, error) {
	if s.lines.Offer(append([]byte(nil), p...)) {
		s.taken.Add(1)
	}
	return len(p), nil
}

// Sync does nothing: lines are written as fast as their reader takes them.
func (s *Stream) Sync() error { return nil }

// Flush waits a short while until the lines that wait are written.
func (s *Stream) Flush() {
	for end := time.Now().Add(flushWait); s.written.Load() < s.taken.Load() && time.Now().Before(end); {
		time.Sleep(flushLook)
	}
}

// copy writes the queued lines to out, and tells how many were lost before a line.
func (s *Stream) copy(out io.Writer, lines zapcore.Encoder) {
	var told uint64
	for line := range s.lines.C() {
		if lost := s.lines.Dropped(); lost > told {
			_, _ = out.Write(lostLine(lines, lost-told))
			told = lost
		}
		_, _ = out.Write(line)
		s.written.Add(1)
	}
}

// tellLeftOut tells once a period how many lines of which message were left out.
func (s *Stream) tellLeftOut(log *zap.Logger) {
	for range time.Tick(sampleEvery) {
		for _, x := range s.left.take() {
			log.Info("log-lines-left-out", zap.String("of", x.message), zap.Int("count", x.lines))
		}
	}
}

// lostLine returns the line that tells how many were lost.
func lostLine(lines zapcore.Encoder, lost uint64) []byte {
	entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log-lines-lost"}
	line, err := lines.EncodeEntry(entry, []zapcore.Field{zap.Uint64("count", lost)})
	if err != nil {
		return nil // the encoders fail for fields that reflect only
	}
	return line.Bytes()
}
