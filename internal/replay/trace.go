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

// Header is the first line of a trace.
var Header = []string{"at_s", "event", "job", "customer", "accelerators", "run_s", "declared_s", "flags"}

// ErrTrace reports a bad line; the error text has its number.
var ErrTrace = errors.New("replay: bad trace")

// Kind is what a line of a trace says.
type Kind string

// The kinds.
const (
	// Submit adds a job.
	Submit Kind = "submit"
	// GuaranteeUsed adds a job that its customer's guarantee has to serve; the
	// time until it starts is the time to reclaim the guarantee.
	GuaranteeUsed Kind = "guarantee_used"
	Cancel        Kind = "cancel"
	// WorkerDown and WorkerUp name a worker in the column job.
	WorkerDown Kind = "worker_down"
	WorkerUp   Kind = "worker_up"
)

// Event is one line of a trace.
type Event struct {
	At       time.Duration
	Kind     Kind
	Job      id.Job
	Customer id.Customer
	// Accelerators, Run and Declared describe a job. Run is how long it really
	// runs.
	Accelerators  int
	Run, Declared time.Duration
	// Once, Urgent and Bad are flags of a job; a bad job crashes wherever it runs.
	// The flag preemptible is read and has no effect: every job that may be
	// repeated can be preempted.
	Once, Urgent, Bad bool
}

// Read reads a trace. Its lines must be in the order of time.
func Read(r io.Reader) ([]Event, error) {
	in := csv.NewReader(r)
	in.FieldsPerRecord = len(Header)
	in.Comment = '#'
	head, err := in.Read()
	if err != nil || !slices.Equal(head, Header) {
		return nil, fmt.Errorf("%w: line 1: want the header %s", ErrTrace, strings.Join(Header, ","))
	}
	var out []Event
	for {
		f, err := in.Read()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		line, _ := in.FieldPos(0)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTrace, err)
		}
		e, err := parse(f)
		if err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrTrace, line, err)
		}
		if len(out) > 0 && e.At < out[len(out)-1].At {
			return nil, fmt.Errorf("%w: line %d: earlier than the line before", ErrTrace, line)
		}
		out = append(out, e)
	}
}

// mostAccelerators bounds what a line may ask for. A job that no site has room for is a job like
// others: it is refused and counted, so that one of them doesn't keep a trace from being played.
const mostAccelerators = 1_000_000

// Errors of single fields.
var (
	errSeconds = errors.New("want seconds")
	errKind    = errors.New("want submit, guarantee_used, cancel, worker_down or worker_up")
	errSize    = fmt.Errorf("want 1 to %d accelerators", mostAccelerators)
	errFlag    = errors.New("want flags urgent, once, preemptible or bad, joined by +")
	errName    = errors.New("want a job or worker")
)

func parse(f []string) (Event, error) {
	e := Event{Kind: Kind(f[1]), Job: id.Job(f[2]), Customer: id.Customer(f[3])}
	var err error
	if e.At, err = seconds(f[0]); err != nil {
		return e, fmt.Errorf("at_s: %q: %w", f[0], err)
	}
	if e.Job == "" {
		return e, fmt.Errorf("job: %w", errName)
	}
	switch e.Kind {
	case Cancel, WorkerDown, WorkerUp:
		return e, nil
	case Submit, GuaranteeUsed:
	default:
		return e, fmt.Errorf("event: %q: %w", f[1], errKind)
	}
	if e.Accelerators, err = strconv.Atoi(f[4]); err != nil || e.Accelerators < 1 || e.Accelerators > mostAccelerators {
		return e, fmt.Errorf("accelerators: %q: %w", f[4], errSize)
	}
	if e.Run, err = seconds(f[5]); err != nil {
		return e, fmt.Errorf("run_s: %q: %w", f[5], err)
	}
	if e.Declared, err = seconds(f[6]); err != nil {
		return e, fmt.Errorf("declared_s: %q: %w", f[6], err)
	}
	return e, e.flags(f[7])
}

func (e *Event) flags(s string) error {
	for _, w := range strings.FieldsFunc(s, func(r rune) bool { return r == '+' }) {
		switch w {
		case "once":
			e.Once = true
		case "urgent":
			e.Urgent = true
		case "bad":
			e.Bad = true
		case "preemptible":
		default:
			return fmt.Errorf("flags: %q: %w", s, errFlag)
		}
	}
	return nil
}

func seconds(s string) (time.Duration, error) {
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

func (e Event) fields() []string {
	f := []string{decimal(e.At), string(e.Kind), string(e.Job), string(e.Customer), "", "", "", ""}
	if e.Kind != Submit && e.Kind != GuaranteeUsed {
		return f
	}
	var flags []string
	for _, x := range []struct {
		set  bool
		name string
	}{{e.Once, "once"}, {e.Urgent, "urgent"}, {e.Bad, "bad"}, {!e.Once, "preemptible"}} {
		if x.set {
			flags = append(flags, x.name)
		}
	}
	f[4], f[5], f[6], f[7] = strconv.Itoa(e.Accelerators), decimal(e.Run), decimal(e.Declared), strings.Join(flags, "+")
	return f
}

func decimal(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }
