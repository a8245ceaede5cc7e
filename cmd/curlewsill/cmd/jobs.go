package cmd

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
)

// errNoJob reports a job that the host doesn't know.
var errNoJob = errors.New("no such job")

// jobsCmd is the subcommand jobs.
type jobsCmd struct {
	Submit jobsSubmitCmd `command:"submit" description:"Add a job"`
	List   jobsListCmd   `command:"list" description:"List the jobs"`
	Show   jobsShowCmd   `command:"show" description:"Show one job"`
	Cancel jobsCancelCmd `command:"cancel" description:"Cancel a job"`
}

// Execute implements flags.Commander.
func (*jobsCmd) Execute([]string) error { return nil }

// jobsSubmitCmd is the subcommand jobs submit.
type jobsSubmitCmd struct {
	env          *env
	ID           string        `long:"id" required:"yes" description:"name of the job; it must not have been used before"`
	Customer     string        `long:"customer" required:"yes" description:"customer that the job belongs to"`
	Accelerators int           `long:"accelerators" default:"1" description:"number of adjacent accelerators, 1 to 64"`
	Cores        int           `long:"cores" description:"CPU cores per accelerator"`
	MemoryMiB    int64         `long:"memory-mib" description:"memory per accelerator in MiB"`
	Declared     time.Duration `long:"declared" default:"1h" description:"expected run time"`
	Once         bool          `long:"once" description:"start the job at most once"`
	Urgent       bool          `long:"urgent" description:"schedule the job before the customer's other jobs"`
	Command      string        `long:"command" description:"command that the workers receive"`
}

// Execute implements flags.Commander.
func (c *jobsSubmitCmd) Execute([]string) error {
	cl, err := c.env.client()
	if err != nil {
		return err
	}
	off, err := cl.Submit(c.env.ctx, record.Job{
		ID: id.Job(c.ID), Customer: id.Customer(c.Customer), Accelerators: c.Accelerators,
		Cores: c.Cores, Memory: unit.Bytes(c.MemoryMiB) * unit.MiB, Declared: c.Declared,
		AtMostOnce: c.Once, Urgent: c.Urgent, Command: c.Command,
	})
	if err != nil {
		return err
	}
	return c.env.print(off, func(w io.Writer) { fmt.Fprintf(w, "job %s is on the log at offset %d\n", c.ID, off) })
}

// jobsListCmd is the subcommand jobs list.
type jobsListCmd struct{ env *env }

// Execute implements flags.Commander.
func (c *jobsListCmd) Execute([]string) error {
	jobs, err := c.env.jobs()
	if err != nil {
		return err
	}
	return c.env.print(jobs, func(w io.Writer) { showJobs(w, jobs) })
}

func showJobs(out io.Writer, jobs []state.Job) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "JOB\tCUSTOMER\tSIZE\tSTATE\tATTEMPT\tBLOCK\tREASON")
	for _, j := range jobs {
		location := "-"
		if j.Block.Size > 0 {
			location = j.Block.String()
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%s\t%s\n",
			j.Spec.ID, j.Spec.Customer, j.Spec.Accelerators, j.State, j.Attempt, location, j.Reason)
	}
}

// jobsShowCmd is the subcommand jobs show.
type jobsShowCmd struct {
	env  *env
	Args struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobsShowCmd) Execute([]string) error {
	jobs, err := c.env.jobs()
	if err != nil {
		return err
	}
	for _, j := range jobs {
		if j.Spec.ID == id.Job(c.Args.Job) {
			return c.env.print(j, func(w io.Writer) { showJobs(w, []state.Job{j}) })
		}
	}
	return fmt.Errorf("%w: %s", errNoJob, c.Args.Job)
}

// jobsCancelCmd is the subcommand jobs cancel.
type jobsCancelCmd struct {
	env  *env
	Args struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobsCancelCmd) Execute([]string) error {
	cl, err := c.env.client()
	if err != nil {
		return err
	}
	off, err := cl.Cancel(c.env.ctx, id.Job(c.Args.Job))
	if err != nil {
		return err
	}
	return c.env.print(off, func(w io.Writer) { fmt.Fprintf(w, "job %s is cancelled at offset %d\n", c.Args.Job, off) })
}
