// Package cmd is the command line of curlewsill, one file for each subcommand.
//
// Results are written to standard output, everything else to standard error. The exit
// codes are listed in docs/CLI.md and below.
package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/plan"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/internal/client"
	"curlewsill.org/curlewsill/internal/inifile"
)

// The exit codes.
const (
	// exitDone reports success.
	exitDone = 0
	// exitFailed reports a failure without a more specific code.
	exitFailed = 1
	// exitUsage reports an invalid command line or file. Nothing was attempted.
	exitUsage = 2
	// exitRefused reports that the host refused the call. Nothing was changed.
	exitRefused = 3
	// exitUnknown reports that no verdict was received. The change may have taken
	// effect.
	exitUnknown = 4
)

// errUsage reports an invalid command line.
var errUsage = errors.New("usage")

// env holds the global options, the context and the standard streams of the
// subcommands.
type env struct {
	URL       string `long:"url" env:"CURLEWSILL_URL" default:"http://127.0.0.1:8081" value-name:"URL" description:"operators' interface of any entry host"`
	TokenFile string `long:"token-file" env:"CURLEWSILL_TOKEN_FILE" value-name:"FILE" description:"file with the operators' token"`
	JSON      bool   `long:"json" description:"print the result as JSON"`

	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// command is one subcommand.
type command struct {
	name, short, long string
	data              flags.Commander
}

// Main runs the program and returns its exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e := &env{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	p := flags.NewNamedParser("curlewsill", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Global options", "", e); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	for _, c := range commands(e) {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(stderr, err)
			return exitFailed
		}
	}
	_, err := p.ParseArgs(args)
	return e.exit(err)
}

// exit prints err, unless it is nil, and returns its exit code. A request for help is
// no failure: its text is printed to standard output.
func (e *env) exit(err error) int {
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Fprintln(e.stdout, f.Message)
		return exitDone
	}
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(e.stderr, "curlewsill:", err)
	var r *client.Refusal
	switch {
	case errors.As(err, &f), errors.Is(err, errUsage), errors.Is(err, inifile.ErrInvalid):
		return exitUsage
	case errors.As(err, &r) && r.Ran == route.RanUnknown:
		return exitUnknown
	case errors.Is(err, client.ErrRefused):
		return exitRefused
	case errors.Is(err, client.ErrUnreachable):
		return exitUnknown
	}
	return exitFailed
}

// client returns a client of the entry host.
func (e *env) client() (*client.Client, error) {
	if e.TokenFile == "" {
		return nil, fmt.Errorf("%w: --token-file is missing", errUsage)
	}
	data, err := os.ReadFile(e.TokenFile)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return client.New(e.URL, strings.TrimSpace(string(data))), nil
}

// view returns the entry host's view, without the jobs.
func (e *env) view() (node.View, error) {
	cl, err := e.client()
	if err != nil {
		return node.View{}, err
	}
	return cl.Status(e.ctx)
}

// jobs returns the jobs that the entry host keeps.
func (e *env) jobs() ([]state.Job, error) {
	cl, err := e.client()
	if err != nil {
		return nil, err
	}
	return cl.Jobs(e.ctx)
}

// plan returns the entry host's plan for the changes.
func (e *env) plan(changes []config.Change) (plan.Plan, error) {
	cl, err := e.client()
	if err != nil {
		return plan.Plan{}, err
	}
	return cl.Plan(e.ctx, changes)
}

// print writes v as JSON if the option is set, and as text otherwise.
func (e *env) print(v any, text func(io.Writer)) error {
	if !e.JSON {
		text(e.stdout)
		return nil
	}
	enc := json.NewEncoder(e.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
