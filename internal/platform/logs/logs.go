// Package logs is the client of the platform's log.
package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/internal/platform/wire"
)

// Limits of one call.
const (
	// maxRecords is how many records one read asks for; maxAnswer bounds the
	// answer's size.
	maxRecords = 128
	maxAnswer  = 2 * maxRecords * int64(record.MaxSize)
	// slack is how much longer than asked for a read may take.
	slack = 3 * time.Second
)

// ErrRefused reports an answer other than success.
var ErrRefused = errors.New("logs: refused")

// Client reads and appends. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the log at the address base.
func New(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// Append adds a record. An error leaves it open whether the record was added.
func (c *Client) Append(ctx context.Context, raw []byte) (id.Offset, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+wire.RecordsPath, bytes.NewReader(raw))
	if err != nil {
		return 0, fmt.Errorf("logs: append: %w", err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	var out wire.Appended
	if err := c.do(req, &out); err != nil {
		return 0, fmt.Errorf("logs: append: %w", err)
	}
	return out.Offset, nil
}

// Read returns the records from offset from on. It waits for up to wait if there is
// none yet.
func (c *Client) Read(ctx context.Context, from id.Offset, wait time.Duration) (wire.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	q := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"limit":   {strconv.Itoa(maxRecords)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+wire.RecordsPath+"?"+q.Encode(), nil)
	if err != nil {
		return wire.Records{}, fmt.Errorf("logs: read: %w", err)
	}
	var out wire.Records
	if err := c.do(req, &out); err != nil {
		return wire.Records{}, fmt.Errorf("logs: read: %w", err)
	}
	return out, nil
}

func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
		return fmt.Errorf("%w: %s", ErrRefused, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(out)
}
