// Package workers is the client of the platform's workers.
package workers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"curlewsill.org/curlewsill/core/worker"
	"curlewsill.org/curlewsill/internal/platform/wire"
)

const (
	// timeout bounds one sync.
	timeout = 2 * time.Second
	// maxAnswer bounds a report's size in bytes.
	maxAnswer = 1 << 20
)

// ErrRefused reports an answer other than success.
var ErrRefused = errors.New("workers: refused")

// Client syncs workers. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the workers behind the address base.
func New(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// Sync sends a worker what it should hold and returns what it holds. An error
// leaves it open whether the worker took the sync.
func (c *Client) Sync(ctx context.Context, s worker.Sync) (worker.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(s)
	if err != nil {
		return worker.Report{}, fmt.Errorf("workers: sync %s: %w", s.Worker, err)
	}
	at := c.base + wire.WorkersPath + "/" + url.PathEscape(string(s.Worker)) + "/sync"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, at, bytes.NewReader(body))
	if err != nil {
		return worker.Report{}, fmt.Errorf("workers: sync %s: %w", s.Worker, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return worker.Report{}, fmt.Errorf("workers: sync %s: %w", s.Worker, err)
	}
	defer func() { _ = resp.Body.Close() }()
	limited := io.LimitReader(resp.Body, maxAnswer)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, limited)
		return worker.Report{}, fmt.Errorf("workers: sync %s: %w: %s", s.Worker, ErrRefused, resp.Status)
	}
	var rep worker.Report
	if err := json.NewDecoder(limited).Decode(&rep); err != nil {
		return worker.Report{}, fmt.Errorf("workers: sync %s: %w", s.Worker, err)
	}
	return rep, nil
}
