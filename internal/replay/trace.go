package replay

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/id"
)

// Header has the column names in the first line of a trace.
var Header = []string{"at_s", "event", "job", "customer", "accelerators", "run_s", "declared_s", "flags"}

// ErrTrace reports an invalid line of a trace. The error text names its number.
var ErrTrace = errors.New("replay: bad trace")

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	// Submit submits a job.
	Submit Kind = "submit"
	// SubmitGuaranteed submits a job that its customer's guarantee must serve. The
	// time until it starts is the time to reclaim the guarantee from borrowers.
	SubmitGuaranteed Kind = "guarantee_used"
	// Cancel cancels a job.
	Cancel Kind = "cancel"
	// WorkerDown and WorkerUp stop and restart the worker named in column job.
	WorkerDown Kind = "worker_down"
	WorkerUp   Kind = "worker_up"
)

// Event is one line of a trace.
type Event struct {
	// At is the time since the start of the trace.
	At   time.Duration
	Kind Kind
	// Job is the job, or the worker's name for WorkerDown and WorkerUp.
	Job      id.Job
	Customer id.Customer
	// Accelerators, Run and Declared describe a submitted job. Run is its actual
	// run time, and Declared the run time that the customer declares.
	Accelerators  int
	Run, Declared time.Duration
	// Once, Urgent and CrashesEverywhere are flags of a job: it must not be
	// repeated, it is urgent, or it crashes on every worker. In a file the flag of
	// CrashesEverywhere is "bad". Read accepts the flag "preemptible" and ignores
	// it, because every job that may be repeated can be preempted.
	Once, Urgent, CrashesEverywhere bool
}

// Read reads a trace. Its lines must be in ascending order of time.
func Read(r io.Reader) ([]Event, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = len(Header)
	reader.Comment = '#'
	header, err := reader.Read()
	if err != nil || !slices.Equal(header, Header) {
		return nil, fmt.Errorf("%w: line 1: want the header %s", ErrTrace, strings.Join(Header, ","))
	}
	var out []Event
	for {
		f, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		line, _ := reader.FieldPos(0)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTrace, err)
		}
		e, err := parseEvent(f)
		if err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrTrace, line, err)
		}
		if len(out) > 0 && e.At < out[len(out)-1].At {
			return nil, fmt.Errorf("%w: line %d: time is earlier than in the line before", ErrTrace, line)
		}
		out = append(out, e)
	}
}

// maxAccelerators bounds the number of accelerators of a job in a trace. It is far
// above the largest gang that can be placed: the scheduler refuses a larger job and
// the replay counts it, so that one such job doesn't make the trace unusable.
const maxAccelerators = 1_000_000

// Errors in single fields.
var (
	errSeconds = errors.New("want a number of seconds from 0 to 1e9")
	errKind    = errors.New("want submit, guarantee_used, cancel, worker_down or worker_up")
	errSize    = fmt.Errorf("want 1 to %d accelerators", maxAccelerators)
	errFlag    = errors.New("want flags urgent, once, preemptible or bad, joined by +")
	errName    = errors.New("want the name of a job or worker")
)

func parseEvent(f []string) (Event, error) {
	e := Event{Kind: Kind(f[1]), Job: id.Job(f[2]), Customer: id.Customer(f[3])}
	var err error
	if e.At, err = parseSeconds(f[0]); err != nil {
		return e, fmt.Errorf("at_s: %q: %w", f[0], err)
	}
	if e.Job == "" {
		return e, fmt.Errorf("job: %w", errName)
	}
	switch e.Kind {
	case Cancel, WorkerDown, WorkerUp:
		return e, nil
	case Submit, SubmitGuaranteed:
	default:
		return e, fmt.Errorf("event: %q: %w", f[1], errKind)
	}
	if e.Accelerators, err = strconv.Atoi(f[4]); err != nil || e.Accelerators < 1 || e.Accelerators > maxAccelerators {
		return e, fmt.Errorf("accelerators: %q: %w", f[4], errSize)
	}
	if e.Run, err = parseSeconds(f[5]); err != nil {
		return e, fmt.Errorf("run_s: %q: %w", f[5], err)
	}
	if e.Declared, err = parseSeconds(f[6]); err != nil {
		return e, fmt.Errorf("declared_s: %q: %w", f[6], err)
	}
	return e, e.parseFlags(f[7])
}

func (e *Event) parseFlags(s string) error {
	for _, flag := range strings.FieldsFunc(s, func(r rune) bool { return r == '+' }) {
		switch flag {
		case "once":
			e.Once = true
		case "urgent":
			e.Urgent = true
		case "bad":
			e.CrashesEverywhere = true
		case "preemptible":
		default:
			return fmt.Errorf("flags: %q: %w", s, errFlag)
		}
	}
	return nil
}

func parseSeconds(s string) (time.Duration, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x < 0 || x > 1e9 {
		return 0, errSeconds
	}
	return time.Duration(x * float64(time.Second)), nil
}

// Write writes a trace.
func Write(w io.Writer, events []Event) error {
	out := csv.NewWriter(w)
	if err := out.Write(Header); err != nil {
		return err
	}
	for _, e := range events {
		if err := out.Write(e.fields()); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// fields returns the event as a line of a trace, in the order of Header.
func (e Event) fields() []string {
	f := []string{formatSeconds(e.At), string(e.Kind), string(e.Job), string(e.Customer), "", "", "", ""}
	if e.Kind != Submit && e.Kind != SubmitGuaranteed {
		return f
	}
	var flags []string
	for _, x := range []struct {
		set  bool
		name string
	}{{e.Once, "once"}, {e.Urgent, "urgent"}, {e.CrashesEverywhere, "bad"}, {!e.Once, "preemptible"}} {
		if x.set {
			flags = append(flags, x.name)
		}
	}
	f[4], f[5], f[6], f[7] = strconv.Itoa(e.Accelerators), formatSeconds(e.Run), formatSeconds(e.Declared), strings.Join(flags, "+")
	return f
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }
