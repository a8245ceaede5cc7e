package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// eventKind is the kind of an event. The kinds of events that workers observe
// are declared in package standin.
type eventKind string

// The other kinds.
const (
	// eventSent is a call that a caller sends, eventAnswered its answer. Status
	// is 0 if there was no complete answer, and Took is the time that the call
	// was in flight on its connection. A call about a queue has no job, and Count
	// is the number of waiting jobs in its answer.
	eventSent     eventKind = "sent"
	eventAnswered eventKind = "answered"
	// eventConfig is a version of the configuration, with its keys and queues,
	// that is written to the store.
	eventConfig eventKind = "config"
	// eventDraining is a worker's announcement that it drains.
	eventDraining eventKind = "draining"
	// eventEvacuated records that the operator evacuated the failure domain
	// What, and eventOpened that the evacuation ended.
	eventEvacuated eventKind = "evacuated"
	eventOpened    eventKind = "opened"
	// eventFaultBegan and eventFaultEnded are the beginning and end of an
	// injected fault. What is its target: "store", "workers" or an incarnation
	// of a host.
	eventFaultBegan eventKind = "began"
	eventFaultEnded eventKind = "ceased"
	// eventExited is the exit of a host's process. Status is its exit code,
	// Planned is set after a SIGTERM, Took is the time since then, and Killed
	// is set after a SIGKILL.
	eventExited eventKind = "exited"
	// eventLogged is a line of a host's log that reports a violated invariant,
	// a panic or a data race.
	eventLogged eventKind = "logged"
	// eventTaken is the end of an outage of the store in which a worker was taken
	// away.
	eventTaken eventKind = "taken"
	// eventUsage is the resource usage of a process at the end: Count
	// descriptors, and Bytes of memory.
	eventUsage eventKind = "usage"
	// eventSettled is the end of the run: all faults and calls have ended, and
	// the waiting for jobs and workers is over.
	eventSettled eventKind = "settled"
)

// event is something that callers, workers or the operator observed. A file of
// events, with one JSON object a line, can be judged again. Fields that the
// kind doesn't use are zero.
type event struct {
	// At is the time since the run began, by a monotonic clock. The lapse of a
	// lease may be reported late; At is when it lapsed.
	At   time.Duration
	Kind eventKind

	Worker string `json:",omitempty"`
	Task   string `json:",omitempty"`
	Run    int    `json:",omitempty"`
	Text   string `json:",omitempty"`
	Epoch  uint64 `json:",omitempty"`
	How    string `json:",omitempty"`

	// Host is one incarnation of a host, Call a call's number, Request its
	// request ID, Method its HTTP method, Job and Queue what it is about, and Key
	// the API key it carries. Earlier files have neither Request nor Queue.
	Host    string         `json:",omitempty"`
	Call    int            `json:",omitempty"`
	Request string         `json:",omitempty"`
	Method  string         `json:",omitempty"`
	Job     string         `json:",omitempty"`
	Queue   string         `json:",omitempty"`
	Key     string         `json:",omitempty"`
	Steps   []standin.Step `json:",omitempty"`
	Status  int            `json:",omitempty"`
	State   string         `json:",omitempty"`
	Took    time.Duration  `json:",omitempty"`
	// Fresh is set if the call opened its connection, and the host was ready
	// for new connections according to the load balancer.
	Fresh bool `json:",omitempty"`

	Version int      `json:",omitempty"`
	Keys    []string `json:",omitempty"`
	Queues  []string `json:",omitempty"` // not in earlier files
	// What is the target of a fault, or a failure domain: the one of an
	// evacuation, or the one in which a task is started.
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
