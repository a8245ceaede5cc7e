// Package workers is the client of the platform's workers.
package workers

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
	"curlewsill.org/curlewsill/internal/jsonhttp"
	"curlewsill.org/curlewsill/internal/platform/wire"
)

const (
	// timeout bounds the duration of one sync.
	timeout = 2 * time.Second
	// maxAnswer is the maximum size of a report.
	maxAnswer = unit.MiB
)

// Client synchronizes workers with their assigned tasks. It is safe for
// concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the workers behind the address base.
func New(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// Sync sends a worker the tasks that it should hold and returns its report of
// those that it holds. After an error the worker may have applied the sync or
// not.
func (c *Client) Sync(ctx context.Context, s worker.Sync) (worker.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var rep worker.Report
	address := c.base + wire.WorkersPath + "/" + url.PathEscape(string(s.Worker)) + "/sync"
	req, err := jsonhttp.Request(ctx, http.MethodPost, address, s)
	if err == nil {
		err = jsonhttp.Do(c.http, req, maxAnswer, &rep)
	}
	if err != nil {
		return worker.Report{}, fmt.Errorf("workers: sync %s: %w", s.Worker, err)
	}
	return rep, nil
}
