package cmd

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/internal/intent"
	"curlewsill.org/curlewsill/internal/replay"
)

// replayCmd is the subcommand replay.
type replayCmd struct {
	env      *env
	Site     string        `long:"site" required:"yes" value-name:"FILE" description:"site to simulate (INI)"`
	Trace    string        `long:"trace" value-name:"FILE" description:"trace to replay (CSV)"`
	Policy   string        `long:"policy" default:"first-fit,best-fit,buddy,expected,curlewsill" description:"comma-separated placement policies to compare"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of a generated trace"`
	Generate string        `long:"generate" value-name:"LIKENESS" choice:"delta-north" choice:"be-oost" description:"generate a trace with this profile"`
	Length   time.Duration `long:"length" default:"24h" description:"length of a generated trace"`
	Print    bool          `long:"print-trace" description:"print the generated trace and exit"`
	Plot     string        `long:"plot" value-name:"DIR" description:"draw charts of fragmentation and waiting jobs over time into this folder"`
}

// comparison is the result of replay.
type comparison struct {
	Policies []replay.Result `json:"policies"`
}

// Execute implements flags.Commander.
func (c *replayCmd) Execute([]string) error {
	site, err := intent.Load(c.Site)
	if err != nil {
		return err
	}
	trace, err := c.trace(site)
	if err != nil {
		return err
	}
	if c.Print {
		return replay.Write(c.env.stdout, trace)
	}
	out, err := compare(site, trace, strings.Split(c.Policy, ","))
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := replay.Plot(c.Plot, out.Policies); err != nil {
			return err
		}
	}
	return c.env.print(out, func(w io.Writer) { showReplay(w, out) })
}

// compare replays the trace with all policies concurrently.
func compare(site []config.Change, trace []replay.Event, names []string) (comparison, error) {
	out := comparison{Policies: make([]replay.Result, len(names))}
	var g errgroup.Group
	for i, name := range names {
		p, err := place.ByName(name)
		if err != nil {
			return out, fmt.Errorf("%w: %w", errUsage, err)
		}
		g.Go(func() error {
			r, err := replay.Run(site, trace, p)
			out.Policies[i] = r
			return err
		})
	}
	return out, g.Wait()
}

// trace reads or generates the trace.
func (c *replayCmd) trace(site []config.Change) ([]replay.Event, error) {
	if (c.Generate == "") == (c.Trace == "") {
		return nil, fmt.Errorf("%w: want either --trace or --generate", errUsage)
	}
	if c.Generate != "" {
		return replay.Generate(c.Generate, c.Seed, c.Length, workerIDs(site))
	}
	f, err := os.Open(c.Trace)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	defer func() { _ = f.Close() }()
	return replay.Read(f)
}

func workerIDs(site []config.Change) []id.Worker {
	var out []id.Worker
	for _, c := range site {
		if c.SetRack == nil {
			continue
		}
		for _, w := range c.SetRack.Workers {
			out = append(out, w.ID)
		}
	}
	return out
}

func showReplay(out io.Writer, c comparison) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "policy\tfinished\trefused\tp50 s\tp99 s\tlarge p99 s\turgent p99 s\t"+
		"fragmentation\tutilisation\tpreempted\tlost acc·h\treclaim s\tviolations\t")
	for _, r := range c.Policies {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.4f\t%.4f\t%d\t%.1f\t%.1f\t%d\t\n",
			r.Policy, r.Finished, r.Refused, r.CompletionP50, r.CompletionP99, r.LargeCompletionP99, r.UrgentStartP99,
			r.Fragmentation, r.Utilisation, r.Preempted, r.LostAcceleratorSeconds/time.Hour.Seconds(), r.GuaranteeReclaimMax, r.Violations)
	}
}
