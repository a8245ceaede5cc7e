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
	Undo bool `long:"undo" description:"allow new tasks on the workers again"`
	Yes  bool `long:"yes" description:"apply the plan without asking for confirmation"`
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
	return confirmPlan(c.env, p, c.Yes)
}

// changes returns the changes that drain the named workers or, for --undo, end their
// drain. A change sets a whole rack, since workers are configured with their rack.
func (c *drainCmd) changes(v node.View) ([]config.Change, error) {
	remaining := slices.Clone(c.Args.Workers)
	var out []config.Change
	for _, k := range config.SortedKeys(v.Config.Racks) {
		r := v.Config.Racks[k]
		r.Workers = slices.Clone(r.Workers)
		changed := false
		for i := range r.Workers {
			index := slices.Index(remaining, string(r.Workers[i].ID))
			if index < 0 {
				continue
			}
			remaining = slices.Delete(remaining, index, index+1)
			r.Workers[i].Drained, changed = !c.Undo, true
		}
		if changed {
			out = append(out, config.Change{SetRack: &r})
		}
	}
	if len(remaining) > 0 {
		return nil, fmt.Errorf("%w: no worker %s", errUsage, id.Worker(remaining[0]))
	}
	return out, nil
}
