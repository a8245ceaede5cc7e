package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/platform"
)

const (
	// patience is how long a client's call may take if it names no deadline.
	patience = 3 * time.Second
	// answerMargin is kept of a deadline for the answer's way back.
	answerMargin = 30 * time.Millisecond
	// comeBack is when a refused client is told to come back, in whole seconds
	// as the header wants it.
	comeBack = 1
)

// front answers clients.
type front struct {
	host *Host
	// records encodes; the table of the deciding goroutine is not to be touched.
	records *jobtable.Table
}

func newFront(h *Host) *front { return &front{host: h, records: jobtable.New()} }

// call is one call of a client and what it is about, as far as that is known.
type call struct {
	w http.ResponseWriter
	r *http.Request
	// catalog is the configuration by which the whole call is decided; it and
	// queue are nil if no queue was found.
	catalog *catalog.Catalog
	queue   *catalog.Queue
	// customer holds the call's key; empty if the queue asks for none.
	customer id.Customer
	// job is empty if the call is about the queue.
	job id.Job
}

func (c *call) queueName() id.Queue {
	if c.queue == nil {
		return ""
	}
	return c.queue.Name
}

// reply is the whole answer to a call.
type reply struct {
	status int
	body   any
	// why says for the log what decided.
	why string
}

// refused is the answer to a call that surely had no effect.
func refused(why string) reply { return reply{status: http.StatusServiceUnavailable, why: why} }

// ServeHTTP answers one call.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(r.Context(), began.Add(allowed(r)-answerMargin))
	defer cancel()
	f.boundBody(w, r, began)
	c := &call{w: w, r: r}
	rep := f.answer(ctx, c)
	f.write(w, rep)
	took := time.Since(began)
	f.host.metrics.requests.WithLabelValues(r.Method, strconv.Itoa(rep.status)).Observe(took.Seconds())
	var version int64
	if inForce := f.host.catalog.Load(); inForce != nil {
		version = int64(inForce.Version)
	}
	f.host.log.Info("call", zap.String("method", r.Method), zap.String("job", string(c.job)), zap.String("queue", string(c.queueName())),
		zap.Int("status", rep.status), zap.String("why", rep.why), zap.Duration("took", took), zap.Int64("config", version))
}

// boundBody bounds the time for a call's body. Without it a client that goes silent in the middle of
// one would hold its connection, a goroutine and memory for good, and a planned stop up.
func (f *front) boundBody(w http.ResponseWriter, r *http.Request, began time.Time) {
	if r.ContentLength == 0 {
		return // a time limit would end the call, because the server reads on to see its client leave
	}
	if err := http.NewResponseController(w).SetReadDeadline(began.Add(min(allowed(r), bodyTimeout))); err != nil {
		f.host.log.Error("body-not-bounded", zap.Error(err))
	}
}

// unboundBody lifts the time limit when the body has come whole.
func (f *front) unboundBody(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		f.host.log.Info("client-lost", zap.Error(err))
	}
}

// allowed returns how long a call may take.
func allowed(r *http.Request) time.Duration {
	if t, ok := platform.TimeAllowed(r.Header); ok {
		return t
	}
	return patience
}

// write sends the reply. An answer that fails is logged: its client asks again.
func (f *front) write(w http.ResponseWriter, rep reply) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		f.host.log.Info("client-lost", zap.Error(err))
	}
	h := w.Header()
	if f.host.stopping.Load() {
		h.Set("Connection", "close")
	}
	if rep.status == http.StatusServiceUnavailable || rep.status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.Itoa(comeBack))
	}
	body := rep.body
	if body == nil && rep.status >= http.StatusBadRequest {
		body = platform.ErrorBody{Error: rep.why}
	}
	if body == nil {
		w.WriteHeader(rep.status)
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		f.host.log.Error("answer-failed", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(rep.status)
	if _, err := w.Write(data); err != nil {
		f.host.log.Info("answer-lost", zap.Error(err))
	}
}

// answer decides on a call, and notes in it what it is about.
func (f *front) answer(ctx context.Context, c *call) reply {
	inForce := f.host.catalog.Load()
	if inForce == nil {
		return refused("no configuration yet")
	}
	host := c.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	q := inForce.Find(host, c.r.URL.Path)
	if q == nil {
		return reply{status: http.StatusNotFound, why: "no such queue"}
	}
	c.catalog, c.queue = inForce, q
	c.job = id.Job(strings.Trim(strings.TrimPrefix(c.r.URL.Path, q.Prefix), "/"))
	customer, ok := holder(inForce, q, c.r)
	if !ok {
		return reply{status: http.StatusUnauthorized, why: "unknown key"}
	}
	c.customer = customer
	return f.handle(ctx, c)
}

// handle answers a call that is allowed.
func (f *front) handle(ctx context.Context, c *call) reply {
	switch {
	case c.r.Method == http.MethodGet && c.job == "":
		return f.pending(ctx, c.queue)
	case c.r.Method == http.MethodGet:
		return f.state(ctx, c)
	case c.r.Method == http.MethodDelete && c.job != "":
		return f.cancel(ctx, c)
	case c.r.Method == http.MethodPost && c.job != "":
		return f.submit(ctx, c)
	}
	return reply{status: http.StatusMethodNotAllowed, why: "no such call"}
}

// holder returns the customer whose key a call carries.
func holder(c *catalog.Catalog, q *catalog.Queue, r *http.Request) (id.Customer, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if customer, known := c.Holder(key); ok && known {
		return customer, true
	}
	return "", q.Anonymous
}
