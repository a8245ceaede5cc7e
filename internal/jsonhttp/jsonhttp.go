// Package jsonhttp makes HTTP calls with JSON responses of limited size.
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

// ErrRefused reports a response with a status other than 200.
var ErrRefused = errors.New("refused")

// Do makes the call and decodes the response into out, unless out is nil. It reads at
// most limit bytes. After an error other than ErrRefused it is unknown whether the call
// took effect.
func Do(c *http.Client, req *http.Request, limit unit.Bytes, out any) error {
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, int64(limit))
	if resp.StatusCode != http.StatusOK {
		// The connection is reused only if the body was read.
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
