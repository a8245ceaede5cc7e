package cmd

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"curlewsill.org/curlewsill/core/node"
)

// statusCmd is the subcommand status.
type statusCmd struct{ env *env }

// Execute implements flags.Commander.
func (c *statusCmd) Execute([]string) error {
	v, err := c.env.view()
	if err != nil {
		return err
	}
	return c.env.print(v, func(w io.Writer) { showStatus(w, v) })
}

func showStatus(out io.Writer, v node.View) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintf(w, "host\t%s\t%s\n", v.Host, v.State)
	fmt.Fprintf(w, "log\toffset %d\tread %s ago\n", v.Applied, v.LogAge.Round(time.Millisecond))
	fmt.Fprintf(w, "configuration\toffset %d\n", v.ConfigAt)
	fmt.Fprintf(w, "owner\t%s\tepoch %d\n", v.Owner.Host, v.Owner.Epoch)
	fmt.Fprintf(w, "peers\t%d\n", len(v.Peers))
	fmt.Fprintf(w, "requests in flight\t%d\n", v.InFlight)
	if v.Owner.Host == v.Host {
		fmt.Fprintf(w, "jobs\t%d running\t%d waiting\n", v.Sched.Running, v.Sched.Pending)
		fmt.Fprintf(w, "fragmentation\t%.3f\n", v.Sched.Fragmentation)
	}
	fmt.Fprintf(w, "violated invariants\t%d\n", v.Counts.Faults)
}
