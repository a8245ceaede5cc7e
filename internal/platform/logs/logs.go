// Package logs is the client of the platform's log.
package logs

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/internal/jsonhttp"
	"curlewsill.org/curlewsill/internal/platform/wire"
)

// Limits of one call.
const (
	// maxRecords is the maximum number of records that one read asks for, and
	// maxAnswer the maximum size of an answer.
	maxRecords = 128
	maxAnswer  = 2 * maxRecords * record.MaxSize
	// readTimeout is how long a read may take beyond the time that it waits for
	// records.
	readTimeout = 3 * time.Second
)

// Client reads and appends records. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the log at the address base.
func New(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// Append appends a record. After an error the record may have been appended or
// not.
func (c *Client) Append(ctx context.Context, raw []byte) (id.Offset, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+wire.RecordsPath, bytes.NewReader(raw))
	if err != nil {
		return 0, fmt.Errorf("logs: append: %w", err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	var out wire.Appended
	if err := jsonhttp.Do(c.http, req, maxAnswer, &out); err != nil {
		return 0, fmt.Errorf("logs: append: %w", err)
	}
	return out.Offset, nil
}

// Read returns the records from offset from on. If there are none yet, it waits
// for up to wait.
func (c *Client) Read(ctx context.Context, from id.Offset, wait time.Duration) (wire.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
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
	if err := jsonhttp.Do(c.http, req, maxAnswer, &out); err != nil {
		return wire.Records{}, fmt.Errorf("logs: read: %w", err)
	}
	return out, nil
}
