package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/plan"
)

// confirmCmd is the subcommand confirm.
type confirmCmd struct {
	env  *env
	Args struct {
		Plan string `positional-arg-name:"PLAN" description:"file written by plan --out"`
	} `positional-args:"yes" required:"yes"`
}

// confirmed is the result of confirm, apply and drain.
type confirmed struct {
	Plan   id.Plan   `json:"plan"`
	Offset id.Offset `json:"offset"`
}

// Execute implements flags.Commander.
func (c *confirmCmd) Execute([]string) error {
	data, err := os.ReadFile(c.Args.Plan)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	var p plan.Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("%w: %s: %w", errUsage, c.Args.Plan, err)
	}
	return confirm(c.env, p)
}

func confirm(e *env, p plan.Plan) error {
	cl, err := e.client()
	if err != nil {
		return err
	}
	off, err := cl.Confirm(e.ctx, p)
	if err != nil {
		return err
	}
	return e.print(confirmed{p.ID, off}, func(w io.Writer) {
		fmt.Fprintf(w, "plan %s is in force at offset %d\n", p.ID, off)
	})
}
