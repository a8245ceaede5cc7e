package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// kind says what an event is. The kinds of what workers see are the stand-in's.
type eventKind string

// The other kinds.
const (
	// sent is a call that leaves, answered its answer (Status 0: no whole one; Took: how long it was
	// under way on its connection).
	eventSent     eventKind = "sent"
	eventAnswered eventKind = "answered"
	// config is a version of the configuration with its keys that the store has taken.
	eventConfig eventKind = "config"
	// draining is a worker that says that it leaves.
	eventDraining eventKind = "draining"
	// evacuated and opened are a failure domain, What, that the operator evacuates or takes back.
	eventEvacuated eventKind = "evacuated"
	eventOpened    eventKind = "opened"
	// began and ceased are a fault; What is what it strikes, "store", "workers" or a host's life.
	eventFaultBegan eventKind = "began"
	eventFaultEnded eventKind = "ceased"
	// exited is the end of a process: Status is its exit code, Took the time since the SIGTERM,
	// Planned is set after one, Killed after a SIGKILL.
	eventExited eventKind = "exited"
	// logged is a line of a host's log that tells of a violated assertion.
	eventLogged eventKind = "logged"
	// usage is what a process holds at the end: Count descriptors, Bytes of memory.
	eventUsage eventKind = "usage"
	// settled is the end of all faults, calls and waiting.
	eventSettled eventKind = "settled"
)

// event is something that callers, workers or the operator have seen. A file of events, one JSON
// object a line, can be judged again. Fields that don't matter for the kind are zero.
type event struct {
	// At is the time since the run began, by one steady clock. Ends of leases may be told late; At is
	// when they were.
	At   time.Duration
	Kind eventKind

	Worker string `json:",omitempty"`
	Task   string `json:",omitempty"`
	Run    int    `json:",omitempty"`
	Text   string `json:",omitempty"`
	Epoch  uint64 `json:",omitempty"`
	How    string `json:",omitempty"`

	// Host is one life of a host, Call a call's number, Method its kind, Job what it is about, Key
	// what it shows.
	Host   string         `json:",omitempty"`
	Call   int            `json:",omitempty"`
	Method string         `json:",omitempty"`
	Job    string         `json:",omitempty"`
	Key    string         `json:",omitempty"`
	Steps  []standin.Step `json:",omitempty"`
	Status int            `json:",omitempty"`
	State  string         `json:",omitempty"`
	Took   time.Duration  `json:",omitempty"`
	// Fresh is set if the call opened its connection, to a host that takes new ones as far as the
	// balancer knows.
	Fresh bool `json:",omitempty"`

	Version int      `json:",omitempty"`
	Keys    []string `json:",omitempty"`
	// What is what a fault strikes, or a failure domain: of an evacuation, or in which a task is started.
	What    string `json:",omitempty"`
	Planned bool   `json:",omitempty"`
	Killed  bool   `json:",omitempty"`
	Count   int    `json:",omitempty"`
	Bytes   int64  `json:",omitempty"`
}

// readEvents reads a file of events.
func readEvents(r io.Reader) ([]event, error) {
	var out []event
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		if len(in.Bytes()) == 0 || in.Bytes()[0] != '{' {
			continue // a comment
		}
		var e event
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, in.Err()
}
