package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/platform"
)

const (
	// headerTimeout and idleTimeout bound slow and silent clients.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// patience is how long a client's call may take if it names no deadline.
	patience = 3 * time.Second
	// answerMargin is kept of a deadline for the answer's way back.
	answerMargin = 30 * time.Millisecond
	// queueWait is how long a record may wait behind an append that hangs before
	// the call is refused. A slow store answers within 300 ms.
	queueWait = 400 * time.Millisecond
	// loadLook is the pause between two looks whether the state is loaded.
	loadLook = 10 * time.Millisecond
	// unknownWait is how long a call waits for an append that was sent before its
	// outcome is reported as unknown, so that the client can ask another host.
	unknownWait = time.Second
	// endWait is how long the answer on a running job's state waits for its end: an
	// end's way through the owner and the store takes about 30 ms.
	endWait = 120 * time.Millisecond
	// comeBack is when a refused client is told to come back, in whole seconds
	// as the header wants it.
	comeBack = 1
	// maxBody bounds a job if the configuration names no bound.
	maxBody = 256 << 10
)

// front answers clients.
type front struct {
	host *Host
	// records encodes; the table of the deciding goroutine is not to be touched.
	records *jobtable.Table
}

func newFront(h *Host) *front { return &front{host: h, records: jobtable.New()} }

// reply is the whole answer to a call.
type reply struct {
	status int
	body   any
	// why says for the log what decided.
	why string
}

// stateBody shows a job, pendingBody a queue.
type stateBody struct {
	State jobtable.Shown `json:"State"`
}

type pendingBody struct {
	Pending int `json:"Pending"`
}

type errorBody struct {
	Error string `json:"Error"`
}

// refused is the answer to a call that surely had no effect.
func refused(why string) reply { return reply{status: http.StatusServiceUnavailable, why: why} }

// unknown is the answer to a call that may have had its effect.
func unknown(why string) reply { return reply{status: http.StatusGatewayTimeout, why: why} }

// ServeHTTP answers one call.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(r.Context(), began.Add(allowed(r)-answerMargin))
	defer cancel()
	rep, j, queue := f.answer(ctx, w, r)
	f.write(w, rep)
	took := time.Since(began)
	f.host.metrics.requests.WithLabelValues(r.Method, strconv.Itoa(rep.status)).Observe(took.Seconds())
	var version int64
	if c := f.host.catalog.Load(); c != nil {
		version = int64(c.Version)
	}
	f.host.log.Info("call", zap.String("method", r.Method), zap.String("job", string(j)), zap.String("queue", string(queue)), zap.Int("status", rep.status),
		zap.String("why", rep.why), zap.Duration("took", took), zap.Int64("config", version))
}

// allowed returns how long a call may take.
func allowed(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	if err != nil || ms <= 0 {
		return patience
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (f *front) write(w http.ResponseWriter, rep reply) {
	h := w.Header()
	if f.host.stopping.Load() {
		h.Set("Connection", "close")
	}
	if rep.status == http.StatusServiceUnavailable || rep.status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.Itoa(comeBack))
	}
	body := rep.body
	if body == nil && rep.status >= http.StatusBadRequest {
		body = errorBody{Error: rep.why}
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

// answer decides on a call.
func (f *front) answer(ctx context.Context, w http.ResponseWriter, r *http.Request) (reply, id.Job, id.Queue) {
	c := f.host.catalog.Load()
	if c == nil {
		return refused("no configuration yet"), "", ""
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	q := c.Find(host, r.URL.Path)
	if q == nil {
		return reply{status: http.StatusNotFound, why: "no such queue"}, "", ""
	}
	j := id.Job(strings.Trim(strings.TrimPrefix(r.URL.Path, q.Prefix), "/"))
	customer, ok := holder(c, q, r)
	if !ok {
		return reply{status: http.StatusUnauthorized, why: "unknown key"}, j, q.Name
	}
	return f.handle(ctx, w, r, c, q, customer, j), j, q.Name
}

// handle answers a call that is allowed.
func (f *front) handle(
	ctx context.Context, w http.ResponseWriter, r *http.Request, c *catalog.Catalog, q *catalog.Queue, customer id.Customer, j id.Job,
) reply {
	switch {
	case r.Method == http.MethodGet && j == "":
		return f.pending(ctx, q)
	case r.Method == http.MethodGet:
		return f.state(ctx, j)
	case r.Method == http.MethodDelete && j != "":
		return f.cancel(ctx, j)
	case r.Method == http.MethodPost && j != "":
		return f.submit(ctx, w, r, c, q, customer, j)
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

// look is what the table says of a job.
type look struct {
	loaded, known bool
	state         jobtable.Shown
}

// inTable asks the deciding goroutine for a job.
func (f *front) inTable(ctx context.Context, j id.Job) (look, bool) {
	out := make(chan look, 1)
	if !f.host.post(ctx, func(unit.Instant) { out <- f.host.lookUp(j) }) {
		return look{}, false
	}
	select {
	case l := <-out:
		return l, true
	case <-ctx.Done():
		return look{}, false
	}
}

// whenLoaded asks for a job and gives a host that has just started a moment to load
// its state, which takes about 30 ms.
func (f *front) whenLoaded(ctx context.Context, j id.Job) (look, bool) {
	for end := time.Now().Add(queueWait); ; {
		l, ok := f.inTable(ctx, j)
		if !ok || l.loaded || time.Now().After(end) {
			return l, ok
		}
		if !pause(ctx, loadLook) {
			return look{}, false
		}
	}
}

func (h *Host) lookUp(j id.Job) look {
	l := look{loaded: h.loaded}
	if e := h.table.Get(j); e != nil && e.Spec != nil {
		l.known, l.state = true, e.Show()
	}
	return l
}

// find looks a job up, and reads to the log's end before it says that there is none.
func (f *front) find(ctx context.Context, j id.Job) (look, bool) {
	l, ok := f.inTable(ctx, j)
	if !ok || l.known {
		return l, ok && l.loaded
	}
	if !l.loaded || !f.host.catchUp(ctx) {
		return l, false
	}
	return f.inTable(ctx, j)
}

func (f *front) pending(ctx context.Context, q *catalog.Queue) reply {
	out := make(chan int, 1)
	f.host.post(ctx, func(unit.Instant) {
		if f.host.loaded {
			out <- f.host.table.Waiting(q.Name)
		} else {
			out <- -1
		}
	})
	select {
	case n := <-out:
		if n >= 0 {
			return reply{status: http.StatusOK, body: pendingBody{Pending: n}}
		}
	case <-ctx.Done():
	}
	return refused("the jobs are not known yet")
}

func (f *front) state(ctx context.Context, j id.Job) reply {
	l, ok := f.find(ctx, j)
	switch {
	case !ok:
		return refused("the newest state can't be read")
	case !l.known:
		return reply{status: http.StatusGone, why: "no such job"}
	}
	if l.state == jobtable.ShownRunning {
		l = f.awaitEnd(ctx, j, l)
	}
	return reply{status: http.StatusOK, body: stateBody{State: l.state}, why: string(l.state)}
}

// awaitEnd waits a short while for a running job's end. Clients ask at the moment in
// which the last task ends, before its record can be read back, and otherwise would
// have to ask again.
func (f *front) awaitEnd(ctx context.Context, j id.Job, l look) look {
	ended := make(chan struct{})
	if !f.host.post(ctx, func(unit.Instant) { f.host.watch(j, ended) }) {
		return l
	}
	f.host.hurry()
	timer := time.NewTimer(endWait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		f.host.post(ctx, func(unit.Instant) { f.host.unwatch(j, ended) })
	case <-ctx.Done():
		f.host.post(context.WithoutCancel(ctx), func(unit.Instant) { f.host.unwatch(j, ended) })
		return l
	}
	if newer, ok := f.inTable(ctx, j); ok && newer.known {
		return newer
	}
	return l
}

func (f *front) cancel(ctx context.Context, j id.Job) reply {
	l, ok := f.find(ctx, j)
	switch {
	case !ok:
		return refused("the newest state can't be read")
	case !l.known || l.state == jobtable.ShownCompleted || l.state == jobtable.ShownFailed:
		return reply{status: http.StatusGone, why: "no such open job"}
	case l.state == jobtable.ShownCancelled:
		return reply{status: http.StatusOK, why: "cancelled before"}
	}
	return f.store(ctx, f.records.CancelRecord(j), "cancelled")
}

func (f *front) submit(
	ctx context.Context, w http.ResponseWriter, r *http.Request, c *catalog.Catalog, q *catalog.Queue, customer id.Customer, j id.Job,
) reply {
	limit := c.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return reply{status: http.StatusRequestEntityTooLarge, why: "the job is too large"}
	}
	if err != nil {
		return reply{status: http.StatusBadRequest, why: "the job was not received whole"}
	}
	spec, err := platform.DecodeJob(data)
	if err != nil {
		return reply{status: http.StatusBadRequest, why: err.Error()}
	}
	l, ok := f.whenLoaded(ctx, j)
	if !ok || !l.loaded {
		return refused("the jobs are not known yet")
	}
	if l.known {
		return reply{status: http.StatusOK, why: "accepted before"}
	}
	fill(&spec, q, customer)
	spec.Accepted = unit.At(time.Now())
	rec, err := f.records.SpecRecord(j, spec)
	if err != nil {
		return reply{status: http.StatusBadRequest, why: err.Error()}
	}
	return f.store(ctx, rec, "accepted")
}

// fill adds what the queue's configuration says of its jobs.
func fill(s *job.Spec, q *catalog.Queue, customer id.Customer) {
	s.Customer, s.Queue, s.Service = customer, q.Name, q.Service
	s.Priority, s.MaxAttempts = q.Priority, q.MaxAttempts
	s.Stretch, s.Target, s.Advice = q.Stretch, q.Target, q.Advice
}

// store writes a record and answers truly: refused only if it was surely not written.
func (f *front) store(ctx context.Context, rec jobtable.Record, why string) reply {
	p := f.host.writer.add(rec)
	if p == nil {
		return refused("other calls wait for the store")
	}
	queued, sent := time.NewTimer(queueWait), time.NewTimer(unknownWait)
	defer queued.Stop()
	defer sent.Stop()
	for {
		select {
		case err := <-p.done:
			return written(err, why)
		case <-queued.C:
			if p.withdraw() {
				return refused("the store doesn't answer")
			}
		case <-sent.C:
			return unknown("the store has not answered in time")
		case <-ctx.Done():
			if p.withdraw() {
				return refused("the store doesn't answer")
			}
			return unknown("the store has not answered in time")
		}
	}
}

// written is the answer when the outcome of a write is known.
func written(err error, why string) reply {
	switch {
	case err == nil:
		return reply{status: http.StatusOK, why: why}
	case errors.Is(err, errNotWritten):
		return refused("the store takes no records")
	}
	return unknown("the store's answer is unknown: " + err.Error())
}

// serveReadiness tells the balancer whether to send clients here.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
