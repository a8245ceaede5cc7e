package hostile

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/txtar"
)

// scenario is one case: the limits of a process and the crowd that it meets.
type scenario struct {
	// limits is the content of the section limits of the settings.
	limits string
	// memory in bytes and descriptors are the process's limits, which its peaks
	// must not exceed.
	memory, descriptors int
	// clients is the number of clients, each of which carries out all steps.
	clients int
	steps   []step
	// hold is set if the clients keep their connections open until the end, and
	// again if they start over on a new connection whenever one ends.
	hold, again bool
	// repeat is set if the clients repeat their steps on the same connection.
	repeat bool
	// unread is set if the clients hold their connections and read nothing more.
	unread bool
	// stalledLog is set if nobody reads what the process logs while the crowd is there.
	stalledLog bool
	// listener is the listener that the crowd calls, by the name of its setting.
	listener string
	// want is the status that each client must get as its last answer; 0 if it
	// doesn't matter.
	want int
}

// step is one step of a client: a verb with its arguments.
type step struct {
	verb string
	args []string
}

// number returns the argument at index i, 0 if there is none.
func (s step) number(i int) int {
	if i >= len(s.args) {
		return 0
	}
	n, err := strconv.Atoi(s.args[i])
	if err != nil {
		panic(fmt.Sprintf("step %s: %v", s.verb, err)) // the cases are part of the test
	}
	return n
}

// is reports whether the argument at index i is the word.
func (s step) is(i int, word string) bool { return i < len(s.args) && s.args[i] == word }

// readScenario reads a case. Its file has the parts limits and crowd. The limits
// have to name the memory in MiB, and the descriptors.
func readScenario(file string) (*scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := &scenario{listener: "callers"}
	for _, f := range txtar.Parse(data).Files {
		switch f.Name {
		case "limits":
			s.readLimits(string(f.Data))
		case "crowd":
			s.readCrowd(string(f.Data))
		default:
			return nil, fmt.Errorf("%s: unknown part %s", file, f.Name)
		}
	}
	if s.memory == 0 || s.descriptors == 0 || s.clients == 0 {
		return nil, fmt.Errorf("%s: want memory, descriptors and clients", file)
	}
	return s, nil
}

// readLimits reads the limits. descriptors is a key of the settings of a site
// only; it limits the open files of the process in any case.
func (s *scenario) readLimits(text string) {
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		key, value, _ := strings.Cut(line, " = ")
		switch key {
		case "memory":
			n, _ := strconv.Atoi(strings.TrimSuffix(value, "MiB"))
			s.memory = n << 20
		case "descriptors":
			s.descriptors, _ = strconv.Atoi(value)
			continue
		}
		s.limits += line + "\n"
	}
}

func (s *scenario) readCrowd(text string) {
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		words := strings.Fields(line)
		x := step{words[0], words[1:]}
		switch x.verb {
		case "clients":
			s.clients = x.number(0)
		case "hold":
			s.hold, s.unread = true, x.is(0, "unread")
		case "again":
			s.hold, s.again = true, true
		case "repeat":
			s.repeat, s.hold, s.again = true, true, true
		case "stalled-log":
			s.stalledLog = true
		case "listener":
			s.listener = x.args[0]
		case "want":
			s.want = x.number(0)
		default:
			s.steps = append(s.steps, x)
		}
	}
}
