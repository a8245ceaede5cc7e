package cmd

import (
	"fmt"
	"io"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/internal/demo"
	"curlewsill.org/curlewsill/internal/sitedemo"
)

// demoCmd is the subcommand demo.
type demoCmd struct {
	env      *env
	Platform bool   `long:"platform" description:"run the demo of entry hosts on the users' platform instead"`
	Site     string `long:"site" default:"delta-north" choice:"delta-north" choice:"be-oost" description:"site whose configuration to use"`
}

// Execute implements flags.Commander.
func (c *demoCmd) Execute([]string) error {
	if c.Platform {
		return c.platform()
	}
	rep, err := demo.Run(c.env.ctx, c.Site, c.env.stderr)
	if perr := c.env.print(rep, func(w io.Writer) { showDemo(w, rep) }); perr != nil {
		return perr
	}
	return err
}

// platform runs the demo of entry hosts on the users' platform.
func (c *demoCmd) platform() error {
	rep, err := sitedemo.Run(c.env.ctx, c.env.stderr)
	if perr := c.env.print(rep, func(w io.Writer) {
		fmt.Fprintf(w, "%d of %d jobs completed, %d tasks started %d times\n", rep.Completed, rep.Jobs, rep.Tasks, rep.Starts)
		fmt.Fprintf(w, "%d calls to the store, %s in all\n", rep.Calls, rep.Took.Round(time.Millisecond))
	}); perr != nil {
		return perr
	}
	return err
}

func showDemo(w io.Writer, r demo.Report) {
	fmt.Fprintf(w, "\nsite %s\n\nrequests\n", r.Site)
	showLoad(w, r.Requests)
	fmt.Fprintf(w, "\ngangs\n%d started, %d started again although marked once\n", r.Started, r.StartedTwice)
	for _, st := range config.SortedKeys(r.Jobs) {
		fmt.Fprintf(w, "%d %s\n", r.Jobs[st], st)
	}
	fmt.Fprintf(w, "fragmentation %.3f\n", r.Fragmentation)
	fmt.Fprintf(w, "\nconfiguration\n%d changes accepted, %d refused while the log was down\n", r.Changes, r.Refused)
	fmt.Fprintf(w, "in force on every host after %s at most\n", r.InForce.Round(time.Millisecond))
	fmt.Fprintf(w, "\n%d appends to the log\n", r.Appends)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "VIOLATED: %s\n", v)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "no invariant was violated")
	}
}
