package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"curlewsill.org/curlewsill/core/plan"
	"curlewsill.org/curlewsill/internal/intent"
)

// planMode is the permission mode of plan files.
const planMode = 0o644

// planCmd is the subcommand plan.
type planCmd struct {
	env  *env
	Out  string `long:"out" value-name:"FILE" description:"write the plan to this file, for the subcommand confirm"`
	Args struct {
		Intent string `positional-arg-name:"INTENT" description:"file with the configuration changes (INI)"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *planCmd) Execute([]string) error {
	p, err := planIntent(c.env, c.Args.Intent)
	if err != nil {
		return err
	}
	if c.Out != "" {
		data, err := json.MarshalIndent(p, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Out, data, planMode); err != nil {
			return err
		}
	}
	return c.env.print(p, func(w io.Writer) { showPlan(w, p) })
}

// planIntent returns the plan for an intent file.
func planIntent(e *env, file string) (plan.Plan, error) {
	changes, err := intent.Load(file)
	if err != nil {
		return plan.Plan{}, err
	}
	return e.plan(changes)
}

// showPlan prints a plan like a diff.
func showPlan(w io.Writer, p plan.Plan) {
	fmt.Fprintf(w, "plan %s on configuration %d\n", p.ID, p.Basis)
	for _, l := range p.Lines {
		fmt.Fprintln(w, l)
	}
	if len(p.Lines) == 0 {
		fmt.Fprintln(w, "nothing changes")
	}
	for _, j := range p.Preempts {
		fmt.Fprintf(w, "! job %s borrows and may be preempted\n", j)
	}
	if p.Problem != "" {
		fmt.Fprintf(w, "this plan can't be confirmed: %s\n", p.Problem)
		return
	}
	fmt.Fprintln(w, "every guarantee can still be reclaimed")
}
