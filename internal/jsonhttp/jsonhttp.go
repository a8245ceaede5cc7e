// Package jsonhttp makes HTTP calls that answer with JSON, within a size limit.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"curlewsill.org/curlewsill/core/unit"
)

// ErrRefused reports an answer with a status other than success.
var ErrRefused = errors.New("refused")

// Do makes the call and decodes the answer into out, unless out is nil. It reads at most
// limit bytes. An error other than ErrRefused leaves it open whether the call took
// effect.
func Do(c *http.Client, req *http.Request, limit unit.Bytes, out any) error {
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, int64(limit))
	if resp.StatusCode != http.StatusOK {
		// The connection is used again only if the answer was read.
		_, _ = io.Copy(io.Discard, body)
		return fmt.Errorf("%w: %s", ErrRefused, resp.Status)
	}
	if out == nil {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	return json.NewDecoder(body).Decode(out)
}

// Request returns a request whose body is v as JSON.
func Request(ctx context.Context, method, url string, v any) (*http.Request, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
