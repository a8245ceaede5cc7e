package cmd

import (
	"fmt"
	"slices"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
)

// drainCmd is the subcommand drain.
type drainCmd struct {
	env  *env
	Undo bool `long:"undo" description:"let new tasks on the workers again"`
	Yes  bool `long:"yes" description:"don't ask"`
	Args struct {
		Workers []string `positional-arg-name:"WORKER" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCmd) Execute([]string) error {
	v, err := c.env.view()
	if err != nil {
		return err
	}
	changes, err := c.changes(v)
	if err != nil {
		return err
	}
	p, err := c.env.plan(changes)
	if err != nil {
		return err
	}
	return ask(c.env, p, c.Yes)
}

// changes returns the racks with the workers drained or not.
func (c *drainCmd) changes(v node.View) ([]config.Change, error) {
	left := slices.Clone(c.Args.Workers)
	var out []config.Change
	for _, k := range config.Sorted(v.Config.Racks) {
		r := v.Config.Racks[k]
		r.Workers = slices.Clone(r.Workers)
		touched := false
		for i := range r.Workers {
			at := slices.Index(left, string(r.Workers[i].ID))
			if at < 0 {
				continue
			}
			left = slices.Delete(left, at, at+1)
			r.Workers[i].Drained, touched = !c.Undo, true
		}
		if touched {
			out = append(out, config.Change{SetRack: &r})
		}
	}
	if len(left) > 0 {
		return nil, fmt.Errorf("%w: no worker %s", errUsage, id.Worker(left[0]))
	}
	return out, nil
}
