package cmd

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"curlewsill.org/curlewsill/core/plan"
)

// errDeclined reports that the operator didn't answer yes to the prompt.
var errDeclined = errors.New("not confirmed; nothing was changed")

// errProblem reports a plan with a problem, which can't be confirmed.
var errProblem = errors.New("the plan can't be confirmed; nothing was changed")

// applyCmd is the subcommand apply.
type applyCmd struct {
	env  *env
	Yes  bool `long:"yes" description:"apply the plan without asking for confirmation"`
	Args struct {
		Intent string `positional-arg-name:"INTENT" description:"file with the configuration changes (INI)"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCmd) Execute([]string) error {
	p, err := planIntent(c.env, c.Args.Intent)
	if err != nil {
		return err
	}
	return confirmPlan(c.env, p, c.Yes)
}

// confirmPlan shows a plan and confirms it, after a prompt unless yes is set.
func confirmPlan(e *env, p plan.Plan, yes bool) error {
	showPlan(e.stderr, p)
	if p.Problem != "" {
		return errProblem
	}
	if len(p.Changes) == 0 {
		return nil
	}
	if !yes {
		fmt.Fprint(e.stderr, "confirm? [yes/no] ")
		line, _ := bufio.NewReader(e.stdin).ReadString('\n')
		if strings.TrimSpace(line) != "yes" {
			return errDeclined
		}
	}
	return confirm(e, p)
}
