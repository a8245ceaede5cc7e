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

// Ticket identifies a Propose, Draw or Inspect event in its answer.
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
	// Heard holds a frame received from a peer.
	Heard struct{ Frame peer.Frame }
	// Hosts holds the platform's host list.
	Hosts struct {
		// Entry lists the entry hosts.
		Entry []id.Host
		// Backends lists the backend servers of each service; the value is false
		// for a backend server that is shutting down.
		Backends map[id.Service]map[id.Backend]bool
	}
	// Report holds a worker's answer to a sync.
	Report struct{ Report worker.Report }
	// Arrived holds a new request of a caller.
	Arrived struct{ Request route.Request }
	// Ended holds the result of an attempt.
	Ended struct{ Result route.Result }
	// Probed holds the result of a probe.
	Probed struct {
		Probe   route.Probe
		Outcome route.Outcome
	}
	// Gone reports that the caller of a request has disconnected.
	Gone struct{ Request id.Request }
	// Propose requests that an entry be written to the log; Settled answers it.
	Propose struct {
		Ticket Ticket
		Entry  record.Entry
	}
	// Draw requests a plan for configuration changes; Drawn answers it.
	Draw struct {
		Ticket  Ticket
		Changes []config.Change
	}
	// Inspect requests a view; Inspected answers it. Jobs includes the jobs.
	Inspect struct {
		Ticket Ticket
		Jobs   bool
	}
	// Stop requests a planned stop. Actions.Stopped answers it once no request and
	// no entry is in flight.
	Stop struct{}
)

func (Tick) event()         {}
func (Records) event()      {}
func (LogDown) event()      {}
func (AppendFailed) event() {}
func (Heard) event()        {}
func (Hosts) event()        {}
func (Report) event()       {}
func (Arrived) event()      {}
func (Ended) event()        {}
func (Probed) event()       {}
func (Gone) event()         {}
func (Propose) event()      {}
func (Draw) event()         {}
func (Inspect) event()      {}
func (Stop) event()         {}

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
	// Settled, Drawn and Inspected answer earlier events by their tickets.
	Settled   []Settled
	Drawn     []Drawn
	Inspected []Inspected
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

// Settled is the verdict on an entry of a Propose event.
type Settled struct {
	Ticket Ticket
	Offset id.Offset
	// Verdict is nil if the entry was accepted.
	Verdict error
}

// Drawn is the plan that a Draw event requested.
type Drawn struct {
	Ticket Ticket
	Plan   plan.Plan
	Err    error
}

// Inspected is the view that an Inspect event requested.
type Inspected struct {
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
	// Flying is the number of requests in flight, which have no final answer yet.
	Flying int `json:"flying"`
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
