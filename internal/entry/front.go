package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/catalog"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/platform"
)

const (
	// defaultCallTime is how long a client's call may take if it names no
	// deadline.
	defaultCallTime = 3 * time.Second
	// answerMargin is the part of a call's time that is reserved for sending
	// the answer.
	answerMargin = 30 * time.Millisecond
	// usualRetryAfter is the Retry-After header of a refused call whose reply gives
	// none.
	usualRetryAfter = time.Second
	// maxJobName limits the name of a job in bytes, and maxReason the reason for an
	// answer. Both are logged with the call.
	maxJobName, maxReason = 64, 300
)

// otherMethod stands for all methods of calls that there aren't.
const otherMethod = "other"

// methodOf returns a call's method for the log and the metrics. Any other text of a
// client would be a time series of its own.
func methodOf(r *http.Request) string {
	switch r.Method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return r.Method
	}
	return otherMethod
}

// truncate returns the first limit bytes of a text, without a part of a character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}

// clientHandler serves the calls of clients.
type clientHandler struct {
	host *Host
	// records only encodes records. The host's own table belongs to the
	// deciding goroutine and must not be used here.
	records *jobtable.Table
	// decoding is held while a job is decoded.
	decoding chan struct{}
	// unnamed counts the calls that clients gave no name.
	unnamed atomic.Uint64
}

func newClientHandler(h *Host) *clientHandler {
	return &clientHandler{host: h, records: jobtable.New(), decoding: make(chan struct{}, 1)}
}

// call is one call of a client, with the queue, customer and job that it
// concerns as far as they are known.
type call struct {
	w http.ResponseWriter
	r *http.Request
	// catalog is the configuration that is used for the whole call; nil if there is
	// none yet. queue is nil if no queue was found.
	catalog *catalog.Catalog
	queue   *catalog.Queue
	// customer is the customer whose API key the call carries. It is empty if
	// the call carries no known key, which only an anonymous queue allows.
	customer id.Customer
	// job is empty if the call concerns the queue.
	job id.Job
	// name is the call's name in the logs.
	name id.Call
}

func (c *call) queueName() id.Queue {
	if c.queue == nil {
		return ""
	}
	return c.queue.Name
}

// reply is the complete answer to a call.
type reply struct {
	status int
	body   any
	// why is the reason for the status. It is logged, and is also the body of
	// an error answer.
	why string
	// about is what the answer tells of jobs, from the table in origin. Both are
	// zero for other answers.
	about  subject
	origin origin
	// waiting is the answer to a question for the number of waiting jobs.
	waiting int
	// retryAfter is when a refused call may be repeated; 0 for usualRetryAfter.
	retryAfter time.Duration
	// last is set if the connection ends with the answer.
	last bool
	// end is the offset after the record that the call has stored; 0 if there is
	// none or it isn't known.
	end id.Offset
}

// subject is what an answer tells of jobs.
type subject string

const (
	// aboutCount is the number of waiting jobs of a queue.
	aboutCount subject = "count"
	// aboutState is the state of a job.
	aboutState subject = "state"
	// aboutGone is that there is no such job, or no such open job.
	aboutGone subject = "gone"
)

// refused returns the answer to a call that certainly had no effect.
func refused(why string) reply { return reply{status: http.StatusServiceUnavailable, why: why} }

// ServeHTTP answers one call.
func (f *clientHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(r.Context(), began.Add(callTimeout(r)-answerMargin))
	defer cancel()
	f.boundBody(w, r, began)
	c := &call{w: w, r: r}
	c.name = f.nameOf(c)
	rep := f.answer(withCall(ctx, c.name), c)
	rep.why = truncate(rep.why, maxReason)
	f.write(w, rep)
	took := time.Since(began)
	f.host.metrics.requests.WithLabelValues(methodOf(r), strconv.Itoa(rep.status)).Observe(took.Seconds())
	f.host.metrics.answer(rep, f.host.now)
	f.logCall(c, rep, took)
}

// logCall logs a call and its answer.
func (f *clientHandler) logCall(c *call, rep reply, took time.Duration) {
	var version int64
	if c.catalog != nil {
		version = int64(c.catalog.Version)
	}
	fields := []zap.Field{
		zap.String("method", methodOf(c.r)), zap.String("request", string(c.name)),
		zap.String("job", truncate(string(c.job), maxJobName)), zap.String("queue", string(c.queueName())),
		zap.Int("status", rep.status), zap.String("why", rep.why), zap.Duration("took", took), zap.Int64("config", version),
	}
	if rep.about == aboutCount && rep.status == http.StatusOK {
		fields = append(fields, zap.Int("waiting", rep.waiting))
	}
	if rep.end != 0 {
		fields = append(fields, zap.Uint64("offset", uint64(rep.end)))
	}
	if rep.about != "" {
		fields = append(fields, rep.origin.fields(f.host.now())...)
	}
	f.host.log.Info("call", fields...)
}

// boundBody limits the time for receiving a call's body. Without a limit a
// client that stops sending in the middle of a body would hold its connection,
// a goroutine and memory forever, and would delay a planned stop.
func (f *clientHandler) boundBody(w http.ResponseWriter, r *http.Request, began time.Time) {
	if r.ContentLength == 0 {
		return // a read deadline would end the call, because the server keeps reading to detect a disconnect
	}
	if err := http.NewResponseController(w).SetReadDeadline(began.Add(min(callTimeout(r), bodyTimeout))); err != nil {
		f.host.log.Error("body-not-bounded", zap.Error(err))
	}
}

// liftBodyLimit removes the time limit once the whole body was received.
func (f *clientHandler) liftBodyLimit(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		f.host.log.Info("client-lost", zap.Error(err))
	}
}

// callTimeout returns how long a call may take.
func callTimeout(r *http.Request) time.Duration {
	if t, ok := platform.ClientTimeout(r.Header); ok {
		return t
	}
	return defaultCallTime
}

// write sends the reply. A failed write is only logged: the client retries the
// call.
func (f *clientHandler) write(w http.ResponseWriter, rep reply) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		f.host.log.Info("client-lost", zap.Error(err))
	}
	h := w.Header()
	if rep.last || f.host.stopping.Load() {
		h.Set("Connection", "close")
	}
	if rep.status == http.StatusServiceUnavailable || rep.status == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfterText(cmp.Or(rep.retryAfter, usualRetryAfter)))
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

// answer finds the queue, job and customer of a call, records them in the call,
// and handles it.
func (f *clientHandler) answer(ctx context.Context, c *call) reply {
	inForce := f.host.catalog.Load()
	if inForce == nil {
		return refused("no configuration yet")
	}
	host := c.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	c.catalog = inForce
	q := inForce.QueueFor(host, c.r.URL.Path)
	if q == nil {
		return reply{status: http.StatusNotFound, why: "no such queue"}
	}
	c.queue = q
	c.job = id.Job(strings.Trim(strings.TrimPrefix(c.r.URL.Path, q.Prefix), "/"))
	customer, ok := customerOf(inForce, q, c.r)
	if !ok {
		return reply{status: http.StatusUnauthorized, why: "unknown key"}
	}
	c.customer = customer
	if len(c.job) > maxJobName {
		return nameTooLong(c)
	}
	return f.handle(ctx, c)
}

// nameTooLong answers a call with a job name that no job can have.
func nameTooLong(c *call) reply {
	if c.r.Method == http.MethodPost {
		return reply{status: http.StatusBadRequest, why: fmt.Sprintf("the name of the job has more than %d bytes", maxJobName), last: true}
	}
	return reply{status: http.StatusGone, why: "no such job"}
}

// handle answers a call whose queue is known and whose customer may use it.
func (f *clientHandler) handle(ctx context.Context, c *call) reply {
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

// customerOf returns the customer whose API key a call carries. It reports
// false if the key is unknown and the queue needs one.
func customerOf(c *catalog.Catalog, q *catalog.Queue, r *http.Request) (id.Customer, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if customer, known := c.CustomerByKey(key); ok && known {
		return customer, true
	}
	return "", q.Anonymous
}
