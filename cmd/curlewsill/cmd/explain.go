package cmd

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"curlewsill.org/curlewsill/internal/dayreport"
)

// maxLine bounds the length of a log line in bytes.
const maxLine = 1 << 20

var (
	// errNoLines reports that no log has a line about the job or call.
	errNoLines = errors.New("no line of these logs has the job or call")
	// errNoLog reports that the command line names no log.
	errNoLog = errors.New("explain needs an ID and a LOG, or --day and a LOG")
)

// explainCmd is the subcommand explain.
type explainCmd struct {
	env  *env
	Day  bool `long:"day" description:"show where all jobs in the logs lost time, instead of one job's or call's history"`
	Args struct {
		Names []string `positional-arg-name:"[ID] LOG" required:"1" description:"job or call (not with --day), then log files, named after their hosts"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is one line of a host's log.
type logLine struct {
	File string `json:"file"`
	When string `json:"when"`
	// Event is the line's message. Fields are the line's other fields in their
	// original order.
	Event  string `json:"event"`
	Fields string `json:"fields"`
}

// Execute implements flags.Commander.
func (c *explainCmd) Execute([]string) error {
	if c.Day {
		return c.explainDay(c.Args.Names)
	}
	if len(c.Args.Names) < 2 {
		return errNoLog
	}
	return c.explainOne(c.Args.Names[0], c.Args.Names[1:])
}

// explainDay prints where the jobs in the logs lost time.
func (c *explainCmd) explainDay(logs []string) error {
	r := dayreport.New()
	for _, name := range logs {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = r.Read(f)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return r.Print(c.env.stdout)
}

// explainOne prints the lines of all logs about a job or call, oldest first.
func (c *explainCmd) explainOne(name string, logs []string) error {
	var lines []logLine
	for _, log := range logs {
		f, err := os.Open(log)
		if err != nil {
			return err
		}
		found, err := linesAbout(f, log, name)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", log, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("%w: %s", errNoLines, name)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.When, b.When) })
	return c.env.print(lines, func(w io.Writer) {
		for _, l := range lines {
			fmt.Fprintf(w, "%s  %-12s  %-16s %s\n", l.When, l.File, l.Event, l.Fields)
		}
	})
}

// linesAbout returns the lines of one log about a job or call.
func linesAbout(r io.Reader, log, name string) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		text := sc.Text()
		if !strings.Contains(text, name) {
			continue
		}
		l, ok := parseLine(text)
		if !ok {
			continue // a line of another program
		}
		l.File = log
		out = append(out, l)
	}
	return out, sc.Err()
}

// parseLine parses a log line: a JSON object, perhaps after a prefix.
func parseLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var head struct {
		When  string `json:"ts"`
		Event string `json:"msg"`
	}
	if json.Unmarshal([]byte(text[start:]), &head) != nil {
		return logLine{}, false
	}
	_, rest, _ := strings.Cut(text[start:], `"msg":"`+head.Event+`",`)
	rest = strings.TrimSuffix(strings.ReplaceAll(rest, `"`, ""), "}")
	return logLine{When: head.When, Event: head.Event, Fields: strings.ReplaceAll(rest, ",", " ")}, true
}
