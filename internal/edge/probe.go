package edge

import (
	"context"
	"io"
	"net/http"

	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/route"
)

// maxProbeBody bounds how much of a probe's response is read, in bytes.
const maxProbeBody = 4 << 10

// Probe checks in a new goroutine whether a backend server accepts requests,
// and passes the outcome to the core.
func (e *Edge) Probe(ctx context.Context, p route.Probe) {
	go func() {
		if o, ok := e.sendProbe(ctx, p); ok {
			e.core.Push(ctx, node.ProbeEnded{Probe: p, Outcome: o})
		}
	}()
}

// sendProbe sends a probe and returns its outcome. It reports false if the
// outcome says nothing about the backend server: the probe timed out, or its
// request couldn't be created.
func (e *Edge) sendProbe(ctx context.Context, p route.Probe) (route.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(p.Backend)+HealthPath, nil)
	if err != nil {
		return "", false
	}
	resp, err := e.clients.Probes.Do(req)
	if err != nil {
		return route.NotSent, ctx.Err() == nil
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBody)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(RefusalHeader) == string(route.Leaving) {
		return route.Leaving, true
	}
	return route.Complete, true
}
