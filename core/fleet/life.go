package fleet

import (
	"strconv"
	"strings"

	"curlewsill.org/curlewsill/core/id"
)

// startSeparator separates a worker's name from the start time of an incarnation
// in an id. Worker names must not contain it.
const startSeparator = "@"

// StartTime is the start time of an incarnation of a worker in milliseconds since
// the Unix epoch, by the worker's wall clock. The clock may be set back between
// two incarnations: different start times mean different incarnations, but a
// later start time doesn't imply a later incarnation.
type StartTime int64

// IncarnationID returns the id of the incarnation that started under a worker's
// name at the given time. A worker that doesn't report its start time has its
// name as its id, and never restarts under the same name.
func IncarnationID(name id.WorkerName, started StartTime) id.Worker {
	return id.Worker(string(name) + startSeparator + strconv.FormatInt(int64(started), 10))
}

// NameOf returns the worker name of an incarnation.
func NameOf(w id.Worker) id.WorkerName {
	name, _, _ := strings.Cut(string(w), startSeparator)
	return id.WorkerName(name)
}

// HasStart reports whether an incarnation's id contains its start time. If so,
// there may be earlier and later incarnations of the same name.
func HasStart(w id.Worker) bool { return strings.Contains(string(w), startSeparator) }

// ValidWorkerName reports whether a worker name is valid as a part of incarnation
// ids.
func ValidWorkerName(name string) bool { return !strings.Contains(name, startSeparator) }
