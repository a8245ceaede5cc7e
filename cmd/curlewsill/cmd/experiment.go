package cmd

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
	"text/tabwriter"

	"curlewsill.org/curlewsill/internal/experiment/batch"
	"curlewsill.org/curlewsill/internal/experiment/chart"
	"curlewsill.org/curlewsill/internal/experiment/result"
	"curlewsill.org/curlewsill/internal/experiment/setup"
	"curlewsill.org/curlewsill/internal/replay"
)

// experimentCmd is the subcommand experiment.
type experimentCmd struct {
	env        *env
	Site       string `long:"site" required:"yes" value-name:"FILE" description:"site to simulate (INI)"`
	Experiment string `long:"experiment" required:"yes" value-name:"FILE" description:"experiment: jobs that arrive, faults, and policies to compare (INI)"`
	Processors int    `long:"processors" default:"1" value-name:"N" description:"number of simulations to run concurrently, each of one policy with one seed"`
	Charts     string `long:"charts" value-name:"DIR" description:"draw charts into this folder"`
	Format     string `long:"chart-format" default:"svg" choice:"svg" choice:"png" description:"format of the charts"`
}

// Execute implements flags.Commander.
func (c *experimentCmd) Execute([]string) error {
	s, err := setup.Load(c.Site, c.Experiment)
	if err != nil {
		return err
	}
	b, err := batch.New(s, c.env.stderr)
	if err != nil && (errors.Is(err, fs.ErrNotExist) || errors.Is(err, replay.ErrTrace)) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if err != nil {
		return err
	}
	if c.Charts != "" {
		if err := os.MkdirAll(c.Charts, 0o777); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	r, err := b.Run(c.env.ctx, c.Processors)
	if err != nil {
		return err
	}
	if r.Partial {
		fmt.Fprintln(c.env.stderr, "ended early: the results cover only the completed simulations")
	}
	if c.Charts != "" {
		if err := chart.Draw(c.Charts, chart.Format(c.Format), r); err != nil {
			return err
		}
	}
	return c.env.print(r, func(w io.Writer) { showExperiment(w, r) })
}

// showExperiment prints the means of each policy, the results by kind of job and by
// customer, and the differences to the first policy.
func showExperiment(out io.Writer, r *result.Report) {
	if r.Partial {
		fmt.Fprintln(out, "PARTIAL: not all seeds were simulated with all policies")
	}
	showMeans(out, r)
	fmt.Fprintln(out)
	showKinds(out, r)
	fmt.Fprintln(out)
	showCustomers(out, r)
	if len(r.Policies) > 1 {
		fmt.Fprintf(out, "\ndifferences to %s, mean and standard error over paired seeds\n", r.Policies[0])
		showDifferences(out, r)
	}
	for _, run := range r.Runs {
		for _, v := range run.Violations {
			fmt.Fprintf(out, "VIOLATED policy %s seed %d: %s\n", run.Policy, run.Seed, v)
		}
	}
}

// columns are the measures in the table of means.
var columns = []string{
	"worth", "net", "use", "fragmentation", "wasted", "starts", "stopped", "preempted", "most_preemptions", "worst_customer",
	"owner_busy", "owner_wait_s",
}

// showMeans prints the means of the measures that aren't specific to a kind of job.
func showMeans(out io.Writer, r *result.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { _ = w.Flush() }()
	fmt.Fprintf(w, "policy\tseeds\t%s\t\n", strings.Join(columns, "\t"))
	for _, p := range r.Policies {
		fmt.Fprintf(w, "%s\t%d\t", p, result.FindMean(r.Means, p, "worth").Seeds)
		for _, c := range columns {
			if result.FindMean(r.Means, p, c).Seeds == 0 {
				fmt.Fprint(w, "-\t")
				continue
			}
			fmt.Fprintf(w, "%.4g\t", result.FindMean(r.Means, p, c).Mean)
		}
		fmt.Fprintln(w)
	}
}

// showKinds prints the outcomes of the jobs of each kind, summed over all seeds.
func showKinds(out io.Writer, r *result.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "policy\tkind\tarrived\trefused\tcompleted\tfailed\tcancelled\topen\tin time\tlate\t"+
		"preempted\tmost\twasted core-s\tworth\tp50 s\tp99 s\t")
	if len(r.Runs) == 0 {
		return
	}
	for _, p := range r.Policies {
		for i, k := range r.Runs[0].Kinds {
			var sum result.Kind
			for _, run := range r.Runs {
				if run.Policy == p {
					sum.Add(run.Kinds[i])
				}
			}
			of := func(name string) float64 { return result.FindMean(r.Means, p, k.Kind+" "+name).Mean }
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.4f\t%.2f\t%.2f\t\n", p, k.Kind, sum.Arrived, sum.Refused, sum.Completed,
				sum.Failed, sum.Cancelled, sum.Open, sum.InTime, sum.Late, sum.Preempted, sum.MostPreemptions,
				sum.Wasted, of("worth"), of("p50_s"), of("p99_s"))
		}
	}
}

// showCustomers prints the jobs of each customer that were in time, summed over all
// seeds.
func showCustomers(out io.Writer, r *result.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "policy\tcustomer\towed\tin time\tshare\t")
	for _, p := range r.Policies {
		for _, c := range r.CustomersOf(p) {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.4f\t\n", p, c.Customer, c.Owed, c.InTime, c.Share())
		}
	}
}

// showDifferences prints the paired differences, one line per measure.
func showDifferences(out io.Writer, r *result.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { _ = w.Flush() }()
	fmt.Fprint(w, "measure\t")
	for _, p := range r.Policies[1:] {
		fmt.Fprintf(w, "%s\t", p)
	}
	fmt.Fprintln(w)
	for _, d := range r.Differences {
		if d.Policy != r.Policies[1] {
			continue
		}
		fmt.Fprintf(w, "%s\t", d.Measure)
		for _, p := range r.Policies[1:] {
			x := result.FindMean(r.Differences, p, d.Measure)
			if x.Seeds == 0 {
				fmt.Fprint(w, "-\t")
				continue
			}
			fmt.Fprintf(w, "%+.4g +- %.2g (%d)\t", x.Mean, x.StdErr, x.Seeds)
		}
		fmt.Fprintln(w)
	}
}
