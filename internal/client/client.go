// Package client calls the operators' interface of an entry host.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/plan"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/internal/admin"
	"curlewsill.org/curlewsill/internal/problem"
)

// maxResponse bounds the size of a response in bytes.
const maxResponse = 64 << 20

// timeout bounds one call.
const timeout = 20 * time.Second

// Errors that a Client returns.
var (
	// ErrRefused reports that the host refused the call. If the host sent details,
	// the error is also a *Refusal.
	ErrRefused = errors.New("refused")
	// ErrUnreachable reports that no valid response was received. Whether the call
	// took effect is unknown.
	ErrUnreachable = errors.New("no answer from the entry host")
)

// Refusal is the problem in a host's response.
type Refusal struct{ problem.Problem }

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("refused: %s: %s", r.Code, r.Detail) }

// Is makes errors.Is report every refusal as ErrRefused.
func (*Refusal) Is(target error) bool { return target == ErrRefused }

// Client calls one entry host. It is safe for concurrent use.
type Client struct {
	base, token string
	http        *http.Client
}

// New returns a client of the operators' interface with the base URL.
func New(base, token string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: &http.Client{Timeout: timeout}}
}

// Plan returns the plan for the changes.
func (c *Client) Plan(ctx context.Context, changes []config.Change) (plan.Plan, error) {
	return call[plan.Plan](ctx, c, http.MethodPost, "/v1/plans", admin.Changes{Changes: changes})
}

// Confirm puts a plan in force and returns its offset in the log.
func (c *Client) Confirm(ctx context.Context, p plan.Plan) (id.Offset, error) {
	a, err := call[admin.Accepted](ctx, c, http.MethodPost, "/v1/plans/confirm", p)
	return a.Offset, err
}

// Submit submits a job and returns its offset in the log.
func (c *Client) Submit(ctx context.Context, j record.Job) (id.Offset, error) {
	a, err := call[admin.Accepted](ctx, c, http.MethodPost, "/v1/jobs", j)
	return a.Offset, err
}

// Cancel cancels a job and returns the offset of the cancellation in the log.
func (c *Client) Cancel(ctx context.Context, j id.Job) (id.Offset, error) {
	a, err := call[admin.Accepted](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(j)), nil)
	return a.Offset, err
}

// Jobs returns all jobs that the host keeps.
func (c *Client) Jobs(ctx context.Context) ([]state.Job, error) {
	return call[[]state.Job](ctx, c, http.MethodGet, "/v1/jobs", nil)
}

// Status returns the host's view, without the jobs.
func (c *Client) Status(ctx context.Context) (node.View, error) {
	return call[node.View](ctx, c, http.MethodGet, "/v1/status", nil)
}

// call makes one call and decodes its response as an A.
func call[A any](ctx context.Context, c *Client, method, path string, body any) (A, error) {
	var out A
	data, err := json.Marshal(body)
	if err != nil {
		return out, fmt.Errorf("client: %w", err)
	}
	if body == nil {
		data = nil
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return out, fmt.Errorf("client: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return out, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	in := io.LimitReader(resp.Body, maxResponse)
	if resp.StatusCode != http.StatusOK {
		var r Refusal
		if err := json.NewDecoder(in).Decode(&r.Problem); err != nil {
			return out, fmt.Errorf("%w: %s", ErrRefused, resp.Status)
		}
		return out, &r
	}
	if err := json.NewDecoder(in).Decode(&out); err != nil {
		return out, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return out, nil
}
