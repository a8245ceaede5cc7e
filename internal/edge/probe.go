package edge

import (
	"context"
	"io"
	"net/http"

	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/route"
)

// maxHealth bounds how much of a probe's answer is read, in bytes.
const maxHealth = 4 << 10

// Probe asks a backend server whether it takes requests, in a goroutine of its own.
func (e *Edge) Probe(ctx context.Context, p route.Probe) {
	go func() {
		if o, ok := e.ask(ctx, p); ok {
			e.core.Push(ctx, node.Probed{Probe: p, Outcome: o})
		}
	}()
}

// ask sends a probe. It reports false if the backend server was too slow to tell.
func (e *Edge) ask(ctx context.Context, p route.Probe) (route.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(p.Backend)+HealthPath, nil)
	if err != nil {
		return "", false
	}
	resp, err := e.clients.Probes.Do(req)
	if err != nil {
		return route.Unreached, ctx.Err() == nil
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, maxHealth)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(RefusalHeader) == string(route.Leaving) {
		return route.Leaving, true
	}
	return route.Whole, true
}
