// Package hosts is the client of the platform's host list.
package hosts

import (
	"context"
	"fmt"
	"net/http"

	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/jsonhttp"
	"curlewsill.org/curlewsill/internal/platform/wire"
)

// maxAnswer is the maximum size of the host list.
const maxAnswer = 4 * unit.MiB

// Client reads the host list. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the host list at the address base.
func New(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// List returns the current host list.
func (c *Client) List(ctx context.Context) (wire.Hosts, error) {
	var out wire.Hosts
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+wire.HostsPath, nil)
	if err == nil {
		err = jsonhttp.Do(c.http, req, maxAnswer, &out)
	}
	if err != nil {
		return wire.Hosts{}, fmt.Errorf("hosts: list: %w", err)
	}
	return out, nil
}

// Announce registers a host, or the backend servers of a service, in the host
// list under a name.
func (c *Client) Announce(ctx context.Context, name string, a wire.Announcement) error {
	req, err := jsonhttp.Request(ctx, http.MethodPut, c.base+wire.HostsPath+"/"+name, a)
	if err == nil {
		err = jsonhttp.Do(c.http, req, maxAnswer, nil)
	}
	if err != nil {
		return fmt.Errorf("hosts: announce: %w", err)
	}
	return nil
}
