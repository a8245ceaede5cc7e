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

// Event is something that happened. It is one of the event types of this package.
type Event interface{ event() }

// Ticket connects a question of the shell with its answer.
type Ticket uint64

type (
	// Tick says that time has passed.
	Tick struct{}
	// Records brings records of the log, one after the other from First. Head is
	// the last offset of the log. Records with Head 0 come from a peer.
	Records struct {
		First id.Offset
		Raw   [][]byte
		Head  id.Offset
	}
	// LogDown says that a read of the log failed.
	LogDown struct{}
	// AppendFailed says that an append was refused or got no answer.
	AppendFailed struct{}
	// Heard brings a frame of a peer.
	Heard struct{ Frame peer.Frame }
	// Hosts brings the platform's host list.
	Hosts struct {
		// Entry lists the entry hosts.
		Entry []id.Host
		// Backends lists the backend servers of each service; the value is false
		// for those that are leaving.
		Backends map[id.Service]map[id.Backend]bool
	}
	// Report brings a worker's answer.
	Report struct{ Report worker.Report }
	// Arrived brings a caller's request.
	Arrived struct{ Request route.Request }
	// Ended brings the end of an attempt.
	Ended struct{ Result route.Result }
	// Probed brings the end of a probe.
	Probed struct {
		Probe   route.Probe
		Outcome route.Outcome
	}
	// Gone says that the caller of a request went away.
	Gone struct{ Request id.Request }
	// Propose asks for an entry to be written to the log; Settled answers.
	Propose struct {
		Ticket Ticket
		Entry  record.Entry
	}
	// Draw asks for a plan; Drawn answers.
	Draw struct {
		Ticket  Ticket
		Changes []config.Change
	}
	// Inspect asks for a view; Inspected answers. Jobs asks for the jobs as well.
	Inspect struct {
		Ticket Ticket
		Jobs   bool
	}
	// Stop asks for a planned stop; Stopped answers when nothing is under way.
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

// Actions is what a step wants to have done. The lists may be carried out in any
// order and at the same time.
type Actions struct {
	// Append is a record to be appended to the log; nil if there is none.
	Append []byte
	// Frames go to peers.
	Frames []Frame
	// Syncs go to workers.
	Syncs []worker.Sync
	// Sends go to backend servers and Replies to callers.
	Sends   []route.Attempt
	Probes  []route.Probe
	Replies []route.Reply
	// Settled, Drawn and Inspected answer questions.
	Settled   []Settled
	Drawn     []Drawn
	Inspected []Inspected
	// Stopped is set once a planned stop is complete.
	Stopped bool
	// Faults are invariants found violated. The decisions concerned were not
	// taken. They are to be logged and counted.
	Faults []error
}

// Frame is a message for a peer.
type Frame struct {
	To    id.Host
	Frame peer.Frame
}

// Settled is the verdict on a proposed entry.
type Settled struct {
	Ticket Ticket
	Offset id.Offset
	// Verdict is nil if the entry was accepted.
	Verdict error
}

// Drawn is a plan that was asked for.
type Drawn struct {
	Ticket Ticket
	Plan   plan.Plan
	Err    error
}

// Inspected is a view that was asked for.
type Inspected struct {
	Ticket Ticket
	View   View
}

// View is a copy of what a host believes, for operators and metrics.
type View struct {
	Host  id.Host `json:"host"`
	State State   `json:"state"`
	// Applied and ConfigAt are the offsets in force here.
	Applied   id.Offset       `json:"applied"`
	ConfigAt  id.Offset       `json:"config_at"`
	Config    config.Config   `json:"config"`
	Owner     state.Owner     `json:"owner"`
	Heartbeat owner.Heartbeat `json:"heartbeat"`
	Jobs      []state.Job     `json:"jobs"`
	Peers     []id.Host       `json:"peers"`
	// Flying is the number of requests without a final answer.
	Flying int `json:"flying"`
	// Sched is meaningful on the owner only.
	Sched sched.Stats `json:"sched"`
	// LogAge is the time since the log was last read.
	LogAge time.Duration `json:"log_age"`
	Now    unit.Instant  `json:"now"`
	Counts Counts        `json:"counts"`
}

// Counts are totals since the host started.
type Counts struct {
	// Damaged counts records that held no batch, Void entries of any host that
	// were not accepted, Diverged peers whose state had another digest.
	Damaged  int `json:"damaged"`
	Void     int `json:"void"`
	Diverged int `json:"diverged"`
	// Faults counts violated invariants.
	Faults int `json:"faults"`
	// Claims counts this host's claims of ownership, Snapshots its snapshots, and
	// Batches its appends, tried again or not.
	Claims    int `json:"claims"`
	Snapshots int `json:"snapshots"`
	Batches   int `json:"batches"`
}
