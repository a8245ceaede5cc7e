package node

import (
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/owner"
	"curlewsill.org/curlewsill/core/peer"
	"curlewsill.org/curlewsill/core/plan"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/sched"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

// Event is an input of Step: one of the event types of this package.
type Event interface{ event() }

// Ticket identifies a Propose, PlanRequest or ViewRequest event in its answer.
type Ticket uint64

type (
	// Tick reports that time has passed.
	Tick struct{}
	// Records holds consecutive records of the log, the first at offset First. Head
	// is the last offset of the log, or 0 if the records come from a peer.
	Records struct {
		First id.Offset
		Raw   [][]byte
		Head  id.Offset
	}
	// LogDown reports that a read of the log failed.
	LogDown struct{}
	// AppendFailed reports that an append was rejected or got no answer.
	AppendFailed struct{}
	// FrameReceived holds a frame received from a peer.
	FrameReceived struct{ Frame peer.Frame }
	// HostList holds the platform's host list.
	HostList struct {
		// EntryHosts lists the entry hosts.
		EntryHosts []id.Host
		// Backends lists the backend servers of each service; the value is false
		// for a backend server that is shutting down.
		Backends map[id.Service]map[id.Backend]bool
	}
	// Report holds a worker's answer to a sync.
	Report struct{ Report worker.Report }
	// RequestArrived holds a new request of a caller.
	RequestArrived struct{ Request route.Request }
	// AttemptEnded holds the result of an attempt.
	AttemptEnded struct{ Result route.Result }
	// ProbeEnded holds the result of a probe.
	ProbeEnded struct {
		Probe   route.Probe
		Outcome route.Outcome
	}
	// CallerGone reports that the caller of a request has disconnected.
	CallerGone struct{ Request id.Request }
	// Propose requests that an entry be written to the log; an EntryVerdict
	// answers it.
	Propose struct {
		Ticket Ticket
		Entry  record.Entry
	}
	// PlanRequest requests a plan for configuration changes; a PlanResult
	// answers it.
	PlanRequest struct {
		Ticket  Ticket
		Changes []config.Change
	}
	// ViewRequest requests a view; a ViewResult answers it. If Jobs is set, the view
	// includes the jobs.
	ViewRequest struct {
		Ticket Ticket
		Jobs   bool
	}
	// Stop requests a planned stop. Actions.Stopped answers it once no request and
	// no entry is in flight.
	Stop struct{}
)

func (Tick) event()           {}
func (Records) event()        {}
func (LogDown) event()        {}
func (AppendFailed) event()   {}
func (FrameReceived) event()  {}
func (HostList) event()       {}
func (Report) event()         {}
func (RequestArrived) event() {}
func (AttemptEnded) event()   {}
func (ProbeEnded) event()     {}
func (CallerGone) event()     {}
func (Propose) event()        {}
func (PlanRequest) event()    {}
func (ViewRequest) event()    {}
func (Stop) event()           {}

// Actions lists what the caller of Step has to do. The actions may be carried out
// in any order and concurrently.
type Actions struct {
	// Append is a record to append to the log; nil if there is none.
	Append []byte
	// Frames are sent to peers.
	Frames []Frame
	// Syncs are sent to workers.
	Syncs []worker.Sync
	// Sends and Probes are sent to backend servers, Replies to callers.
	Sends   []route.Attempt
	Probes  []route.Probe
	Replies []route.Reply
	// Verdicts, Plans and Views answer Propose, PlanRequest and ViewRequest events
	// by their tickets.
	Verdicts []EntryVerdict
	Plans    []PlanResult
	Views    []ViewResult
	// Stopped is set once a planned stop is complete.
	Stopped bool
	// Faults lists violated invariants, which the caller logs and counts. The
	// decisions concerned were not made.
	Faults []error
}

// Frame is a message for a peer.
type Frame struct {
	To    id.Host
	Frame peer.Frame
}

// EntryVerdict is the verdict on an entry of a Propose event.
type EntryVerdict struct {
	Ticket Ticket
	Offset id.Offset
	// Verdict is nil if the entry was accepted.
	Verdict error
}

// PlanResult is the plan that a PlanRequest event requested.
type PlanResult struct {
	Ticket Ticket
	Plan   plan.Plan
	Err    error
}

// ViewResult is the view that a ViewRequest event requested.
type ViewResult struct {
	Ticket Ticket
	View   View
}

// View is a copy of a host's own view of the system, for operators and metrics. It
// may be out of date.
type View struct {
	Host  id.Host `json:"host"`
	State State   `json:"state"`
	// Applied is the offset of the last record that this host applied, ConfigAt the
	// offset of the configuration in force on it.
	Applied   id.Offset       `json:"applied"`
	ConfigAt  id.Offset       `json:"config_at"`
	Config    config.Config   `json:"config"`
	Owner     state.Owner     `json:"owner"`
	Heartbeat owner.Heartbeat `json:"heartbeat"`
	Jobs      []state.Job     `json:"jobs"`
	Peers     []id.Host       `json:"peers"`
	// InFlight is the number of requests in flight, which have no final answer yet.
	InFlight int `json:"flying"`
	// Sched is set on the owner only.
	Sched sched.Stats `json:"sched"`
	// LogAge is the time since the log was last read.
	LogAge time.Duration `json:"log_age"`
	Now    unit.Instant  `json:"now"`
	Counts Counts        `json:"counts"`
}

// Counts are totals since the host started.
type Counts struct {
	// Damaged counts records that held no valid batch, Void the rejected entries
	// of all hosts, and Diverged the frames of peers whose state digest differed
	// from this host's at the same offset.
	Damaged  int `json:"damaged"`
	Void     int `json:"void"`
	Diverged int `json:"diverged"`
	// Faults counts violated invariants.
	Faults int `json:"faults"`
	// Claims counts this host's claims of ownership, Snapshots the snapshots that
	// it wrote, and Batches its appends, including retries.
	Claims    int `json:"claims"`
	Snapshots int `json:"snapshots"`
	Batches   int `json:"batches"`
}
