package fleet

import (
	"strconv"
	"strings"

	"curlewsill.org/curlewsill/core/id"
)

// lifeMark stands between a worker's name and the start of one of its lives. No name holds it.
const lifeMark = "@"

// Start is when a life of a worker began, in milliseconds since 1970 by the worker's time of day. That may be set back between two lives, so
// that another start means another life, and a later one needn't mean a later life.
type Start int64

// Life returns the id of the life that a worker began under its name at a time. A worker that doesn't tell its start has its name as
// its id, and never begins again under it.
func Life(name id.WorkerName, began Start) id.Worker {
	return id.Worker(string(name) + lifeMark + strconv.FormatInt(int64(began), 10))
}

// NameOf returns the name under which a life was begun.
func NameOf(w id.Worker) id.WorkerName {
	name, _, _ := strings.Cut(string(w), lifeMark)
	return id.WorkerName(name)
}

// TellsStart reports whether a life's id has its start: others may have been begun under its name, and may be.
func TellsStart(w id.Worker) bool { return strings.Contains(string(w), lifeMark) }

// MayName reports whether a name is fit for ids of lives.
func MayName(name string) bool { return !strings.Contains(name, lifeMark) }
