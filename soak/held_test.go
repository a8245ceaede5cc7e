package soak

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"curlewsill.org/curlewsill/platform/standin"
)

// holdTime is how long a worker with a "held" fault keeps start orders back.
const holdTime = time.Second

// orderHolder passes calls on to a worker. While released is set, it ends the
// connections of start orders without an answer, and passes the orders on once
// that channel is closed.
type orderHolder struct {
	site     *site
	next     http.Handler
	released atomic.Pointer[chan struct{}]
}

func (h *orderHolder) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	released := h.released.Load()
	if released == nil || r.URL.Path != "/run-start" {
		h.next.ServeHTTP(rw, r)
		return
	}
	if body, err := io.ReadAll(r.Body); err == nil {
		late := httptest.NewRequestWithContext(h.site.t.Context(), r.Method, r.URL.Path, bytes.NewReader(body))
		late.Header = r.Header.Clone()
		go func() {
			defer func() {
				if p := recover(); p != nil && p != http.ErrAbortHandler {
					panic(p) // a worker that has another fault only aborts the call
				}
			}()
			<-*released
			h.next.ServeHTTP(httptest.NewRecorder(), late)
		}()
	}
	panic(http.ErrAbortHandler)
}

// restartBeforeHeldStarts keeps start orders back for holdTime. After the
// fault's duration it restarts the worker under its ID, and the new incarnation
// gets the orders.
func (w *worker) restartBeforeHeldStarts(incarnation *standin.Worker, f fault) {
	w.mu.Lock()
	holder := w.holder
	w.mu.Unlock()
	released := make(chan struct{})
	defer close(released)
	holder.released.Store(&released)
	time.Sleep(holdTime)
	holder.released.CompareAndSwap(&released, nil)
	time.Sleep(f.duration - holdTime)
	w.restartUnderSameID(incarnation, fault{kind: "again", variant: "plain"})
}
