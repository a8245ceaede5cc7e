// Package hosts is the client of the platform's host list.
package hosts

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"curlewsill.org/curlewsill/internal/platform/wire"
)

// maxAnswer bounds the host list's size in bytes.
const maxAnswer = 4 << 20

// ErrRefused reports an answer other than success.
var ErrRefused = errors.New("hosts: refused")

// Client reads the host list. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the host list at the address base.
func New(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// List returns the list as the platform has it now.
func (c *Client) List(ctx context.Context) (wire.Hosts, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+wire.HostsPath, nil)
	if err != nil {
		return wire.Hosts{}, fmt.Errorf("hosts: list: %w", err)
	}
	var out wire.Hosts
	if err := c.do(req, &out); err != nil {
		return wire.Hosts{}, fmt.Errorf("hosts: list: %w", err)
	}
	return out, nil
}

// Announce tells the list of a host or of backend servers, under a name.
func (c *Client) Announce(ctx context.Context, name string, a wire.Announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("hosts: announce: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+wire.HostsPath+"/"+name, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("hosts: announce: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if err := c.do(req, nil); err != nil {
		return fmt.Errorf("hosts: announce: %w", err)
	}
	return nil
}

func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, maxAnswer)
	if resp.StatusCode >= http.StatusMultipleChoices {
		_, _ = io.Copy(io.Discard, body)
		return fmt.Errorf("%w: %s", ErrRefused, resp.Status)
	}
	if out == nil {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	return json.NewDecoder(body).Decode(out)
}
