package cmd

import (
	"fmt"
	"io"
	"text/tabwriter"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/unit"
)

// showCmd is a subcommand that shows a part of a host's view.
type showCmd struct {
	env *env
	// part returns what is printed as JSON. text prints the table.
	part func(node.View) any
	text func(*tabwriter.Writer, node.View)
}

// Execute implements flags.Commander.
func (c *showCmd) Execute([]string) error {
	v, err := c.env.view()
	if err != nil {
		return err
	}
	return c.env.print(c.part(v), func(out io.Writer) {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		c.text(w, v)
		_ = w.Flush()
	})
}

func customersCmd(e *env) *showCmd {
	return &showCmd{env: e, part: func(v node.View) any { return v.Config.Customers }, text: func(w *tabwriter.Writer, v node.View) {
		fmt.Fprintln(w, "CUSTOMER\tWEIGHT\tQUOTA")
		for _, k := range config.SortedKeys(v.Config.Customers) {
			c := v.Config.Customers[k]
			fmt.Fprintf(w, "%s\t%d\t%d\n", c.ID, c.Weight, c.Quota)
		}
	}}
}

func guaranteesCmd(e *env) *showCmd {
	return &showCmd{env: e, part: func(v node.View) any { return v.Config.Guarantees }, text: func(w *tabwriter.Writer, v node.View) {
		fmt.Fprintln(w, "GUARANTEE\tCUSTOMER\tSIZE\tCOUNT")
		for _, k := range config.SortedKeys(v.Config.Guarantees) {
			g := v.Config.Guarantees[k]
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", g.ID, g.Customer, g.Size, g.Count)
		}
	}}
}

func workersCmd(e *env) *showCmd {
	return &showCmd{env: e, part: func(v node.View) any { return v.Config.Racks }, text: func(w *tabwriter.Writer, v node.View) {
		fmt.Fprintln(w, "WORKER\tRACK\tDOMAIN\tACCELERATORS\tCORES\tMEMORY\tDRAINED")
		for _, k := range config.SortedKeys(v.Config.Racks) {
			r := v.Config.Racks[k]
			for _, x := range r.Workers {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%dGiB\t%t\n",
					x.ID, r.ID, r.Domain, x.Accelerators, x.Cores, x.Memory/unit.GiB, x.Drained)
			}
		}
	}}
}

func hostsCmd(e *env) *showCmd {
	return &showCmd{env: e, part: func(v node.View) any { return v.Peers }, text: func(w *tabwriter.Writer, v node.View) {
		fmt.Fprintln(w, "HOST\tROLE")
		for _, h := range v.Peers {
			role := ""
			if h == v.Owner.Host {
				role = "owner"
			}
			fmt.Fprintf(w, "%s\t%s\n", h, role)
		}
	}}
}
