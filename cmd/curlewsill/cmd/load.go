package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/jsonhttp"
	"curlewsill.org/curlewsill/internal/load"
	"curlewsill.org/curlewsill/internal/standin/backendsvc"
)

// maxLedger bounds the size of the backend servers' ledger.
const maxLedger = unit.GiB

// loadCmd is the subcommand load.
type loadCmd struct {
	env       *env
	Target    string        `long:"target" required:"yes" value-name:"URL,..." description:"URLs on which entry hosts serve callers"`
	Service   string        `long:"service" required:"yes" description:"service to send requests to"`
	Customers string        `long:"customers" required:"yes" value-name:"NAME,..." description:"customers to send requests for, in rotation"`
	Rate      float64       `long:"rate" default:"100" description:"requests per second"`
	Duration  time.Duration `long:"duration" default:"10s" description:"how long to send requests"`
	OnceShare float64       `long:"once-share" default:"0" description:"share of requests that must not be repeated, 0 to 1"`
	Body      int           `long:"body" default:"256" description:"size of each request body in bytes"`
	Direct    bool          `long:"direct" description:"the targets are backend servers instead of entry hosts, for comparison"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the random choice of requests that must not be repeated"`
	Ledger    string        `long:"ledger" value-name:"URL" description:"compare with the ledger of any stand-in backend server"`
}

// Execute implements flags.Commander.
func (c *loadCmd) Execute([]string) error {
	r := load.Config{
		Targets: strings.Split(c.Target, ","), Service: id.Service(c.Service), Rate: c.Rate, Duration: c.Duration,
		OnceShare: c.OnceShare, Body: c.Body, Direct: c.Direct, Seed: c.Seed, Name: fmt.Sprint(time.Now().UnixNano()),
	}
	for _, n := range strings.Split(c.Customers, ",") {
		r.Customers = append(r.Customers, id.Customer(n))
	}
	ledger := c.ledger
	if c.Ledger == "" {
		ledger = nil
	}
	rep, err := load.Do(c.env.ctx, r, ledger)
	if err != nil {
		return err
	}
	return c.env.print(rep, func(w io.Writer) { showLoad(w, rep) })
}

// ledger fetches the record of what the backend servers ran.
func (c *loadCmd) ledger(ctx context.Context) (backendsvc.Ledger, error) {
	var l backendsvc.Ledger
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(c.Ledger, "/")+backendsvc.LedgerPath, nil)
	if err != nil {
		return l, err
	}
	return l, jsonhttp.Do(http.DefaultClient, req, maxLedger, &l)
}

func showLoad(w io.Writer, r load.Report) {
	fmt.Fprintf(w, "sent %d: %d whole, %d refused as not run, %d unknown, %d cut, %d wrong\n",
		r.Sent, r.Complete, r.RefusedNotRun, r.Unknown, r.Incomplete, r.Wrong)
	fmt.Fprintf(w, "ran twice although marked once %d, refused as not run but ran %d, repeated %d, overbooked %d\n",
		r.RanTwice, r.NotRunButRan, r.Repeated, r.Overbooked)
	fmt.Fprintf(w, "latency p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n", r.P50, r.P99, r.P999)
}
