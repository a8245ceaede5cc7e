// Package admin is the operators' HTTP interface of an entry host. docs/API.md
// describes it. All calls except health checks and metrics must carry the operators'
// token.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/journal"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/plan"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/problem"
	"curlewsill.org/curlewsill/internal/trace"
)

const (
	// bodyLimit bounds the size of a request body in bytes.
	bodyLimit = 1 << 20
	// verdictTimeout bounds the wait until the log has accepted or rejected an entry.
	verdictTimeout = 10 * time.Second
)

// Host is the part of an entry host that operators use.
type Host interface {
	Propose(context.Context, record.Entry) (id.Offset, error)
	PlanChanges(context.Context, []config.Change) (plan.Plan, error)
	View(ctx context.Context, jobs bool) (node.View, error)
}

// Changes is the body of a request for a plan.
type Changes struct {
	Changes []config.Change `json:"changes"`
}

// Accepted is the response to a call whose entry the log accepted.
type Accepted struct {
	Offset id.Offset `json:"offset"`
}

type server struct {
	host   Host
	token  string
	tracer *trace.Tracer
}

// New returns the handler of the operators' interface.
func New(h Host, token string, metrics *prometheus.Registry, t *trace.Tracer) http.Handler {
	a := &server{host: h, token: token, tracer: t}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", a.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	mux.Handle("GET /v1/status", a.authorize(view(a, false, func(v node.View) any { return v })))
	mux.Handle("GET /v1/jobs", a.authorize(view(a, true, func(v node.View) any { return v.Jobs })))
	mux.Handle("POST /v1/jobs", a.authorize(handle(a.submit)))
	mux.Handle("DELETE /v1/jobs/{job}", a.authorize(a.cancel))
	mux.Handle("POST /v1/plans", a.authorize(handle(a.planChanges)))
	mux.Handle("POST /v1/plans/confirm", a.authorize(handle(a.confirm)))
	return mux
}

// handle returns a handler that decodes the body as a Q, calls f and encodes its
// result.
func handle[Q, A any](f func(context.Context, Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&q); err != nil {
			problem.Write(w, problem.Problem{
				Status: http.StatusBadRequest, Code: "bad-body", Detail: err.Error(), Ran: route.RanNo,
			})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), verdictTimeout)
		defer cancel()
		answer, err := f(ctx, q)
		reply(w, answer, err)
	}
}

// view returns a handler that responds with a part of the host's view.
func view(a *server, jobs bool, part func(node.View) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := a.host.View(r.Context(), jobs)
		reply(w, part(v), err)
	}
}

func reply(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		problem.Write(w, describe(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// refusals maps errors to the HTTP statuses and codes that operators receive.
var refusals = []struct {
	err    error
	status int
	code   route.Code
	ran    route.Ran
}{
	{state.ErrStalePlan, http.StatusConflict, "stale-plan", route.RanNo},
	{state.ErrJobExists, http.StatusConflict, "job-exists", route.RanNo},
	{state.ErrNoJob, http.StatusNotFound, "unknown-job", route.RanNo},
	{state.ErrJobState, http.StatusConflict, "job-ended", route.RanNo},
	{state.ErrFull, http.StatusServiceUnavailable, "too-many-jobs", route.RanNo},
	{state.ErrBlockTaken, http.StatusConflict, "in-use", route.RanNo},
	{config.ErrInvalid, http.StatusUnprocessableEntity, "invalid", route.RanNo},
	{plan.ErrAltered, http.StatusUnprocessableEntity, "altered-plan", route.RanNo},
	{errProblem, http.StatusUnprocessableEntity, "impossible-plan", route.RanNo},
	{journal.ErrFull, http.StatusServiceUnavailable, "queue-full", route.RanNo},
	{node.ErrHalted, http.StatusServiceUnavailable, "host-not-ready", route.RanNo},
	{node.ErrUnknownVerdict, http.StatusGatewayTimeout, "verdict-unknown", route.RanUnknown},
	{context.DeadlineExceeded, http.StatusGatewayTimeout, "verdict-unknown", route.RanUnknown},
}

// describe returns the problem that the operator receives for an error.
func describe(err error) problem.Problem {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return problem.Problem{
				Status: r.status, Code: r.code, Detail: err.Error(), Ran: r.ran, RetryAfter: retryAfter(r.status),
			}
		}
	}
	return problem.Problem{
		Status: http.StatusUnprocessableEntity, Code: "refused", Detail: err.Error(), Ran: route.RanNo,
	}
}

// retryAfter returns the delay before a retry for a response with the status, or 0
// for a status below 500, with which the response suggests no retry.
func retryAfter(status int) time.Duration {
	if status >= http.StatusInternalServerError {
		return 2 * time.Second
	}
	return 0
}

// authorize rejects requests without the token, before it reads anything else of
// them.
func (a *server) authorize(next http.HandlerFunc) http.Handler {
	want := []byte("Bearer " + a.token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			problem.Write(w, problem.Problem{
				Status: http.StatusUnauthorized, Code: "bad-token",
				Detail: "the call carries no token or a wrong one; nothing was changed", Ran: route.RanNo,
			})
			return
		}
		ctx := a.tracer.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := a.tracer.Start(ctx, r.Pattern, oteltrace.WithSpanKind(oteltrace.SpanKindServer))
		defer span.End()
		next(w, r.WithContext(ctx))
	})
}

func (a *server) ready(w http.ResponseWriter, r *http.Request) {
	v, err := a.host.View(r.Context(), false)
	if err != nil || v.State != node.Ready {
		problem.Write(w, problem.Problem{
			Status: http.StatusServiceUnavailable, Code: route.CodeNotReady, Detail: "the host is " + string(v.State),
		})
		return
	}
	reply(w, v.State, nil)
}

func (a *server) submit(ctx context.Context, j record.Job) (Accepted, error) {
	j.Submitted = unit.At(time.Now())
	if j.Trace == "" {
		// The record and the job's tasks propagate the trace context.
		j.Trace = a.tracer.Traceparent(ctx)
	}
	off, err := a.host.Propose(ctx, record.Entry{Submit: &record.Submit{Job: j}})
	return Accepted{off}, err
}

func (a *server) cancel(w http.ResponseWriter, r *http.Request) {
	ctx, done := context.WithTimeout(r.Context(), verdictTimeout)
	defer done()
	job := id.Job(r.PathValue("job"))
	off, err := a.host.Propose(ctx, record.Entry{Cancel: &record.Cancel{Job: job}})
	reply(w, Accepted{off}, err)
}

func (a *server) planChanges(ctx context.Context, q Changes) (plan.Plan, error) {
	return a.host.PlanChanges(ctx, q.Changes)
}

// errProblem reports the confirmation of a plan that has a problem.
var errProblem = errors.New("admin: the plan has a problem")

func (a *server) confirm(ctx context.Context, p plan.Plan) (Accepted, error) {
	if p.Problem != "" {
		return Accepted{}, errProblem
	}
	e, err := p.Entry()
	if err != nil {
		return Accepted{}, err
	}
	off, err := a.host.Propose(ctx, e)
	return Accepted{off}, err
}
