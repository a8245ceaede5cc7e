package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/freshness"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/relay"
)

const (
	// jobsBase is the URL under which the relay path calls a host's own
	// jobQueryTransport.
	jobsBase = "http://jobs"
	// jobQueryTimeout is how long a candidate may take to answer. It first
	// brings its table up to date, or waits for the end of a job. jobQueryShare
	// limits this time to a share of the remaining time of the client's call.
	jobQueryTimeout = 600 * time.Millisecond
	jobQueryShare   = 0.3
	// maxJobQueries is how many candidates are asked one after the other.
	maxJobQueries = 3
)

// jobQuery asks a host that follows the jobs about a job, or how many jobs of a
// queue wait if Job is empty.
//
// A host that has another version of jobQuery or jobReply rejects the message. The
// host that asks then goes on to the next candidate, and if that lasts, follows the
// jobs itself: an answer that doesn't tell how old it is can't be judged.
type jobQuery struct {
	_     struct{} `cbor:",toarray"`
	Job   id.Job
	Queue id.Queue
	// Call is the client's call that the question is asked for.
	Call id.Call
	// AwaitEnd makes the host wait some time for the end of a running job.
	AwaitEnd bool
}

// jobReply is the answer to a jobQuery. Loaded is false if the host doesn't
// follow the jobs, and Readable is false if the number of jobs, or whether there is
// such a job, can't be told. State, Customer and Waiting are valid only if both are
// true. Waiting is the number of waiting jobs of the queue, or the number of
// tombstones if the question is about a job; hosts of the version before say 0 to
// that. The state of an open job may be too old to be told.
type jobReply struct {
	_                       struct{} `cbor:",toarray"`
	Loaded, Readable, Known bool
	State                   jobtable.State
	Customer                id.Customer
	Waiting                 int
	// Age, Offset, Counted and Stale are those of the answer's origin. Age is as of
	// the answer.
	Age     freshness.Age
	Offset  id.Offset
	Counted time.Duration
	Stale   staleReason
}

// jobAnswer is a candidate's answer to a jobQuery, and where it was taken from.
type jobAnswer struct {
	jobReply
	origin origin
}

var (
	jobQueries = codec.New[jobQuery]()
	jobReplies = codec.New[jobReply]()
)

var (
	// errNoTable reports that no host with a table of jobs has answered.
	errNoTable = errors.New("entry: no host that follows the jobs answers")
	// errNoReply reports that a candidate was reached but gave no reply that can be
	// read, as one of another version does.
	errNoReply = errors.New("entry: the candidate has no reply that can be read")
)

// askAboutJobs asks candidates, one after the other, until one has an answer that
// can be given. If all have only tables that are too old, it returns the last
// answer. If none answers at all, this host follows the jobs itself for some time.
//
// A candidate that answers without a table loads it, or waits for its turn, and one
// of another version is replaced soon. The host then follows the jobs only if that
// lasts: after a return of all hosts no candidate has a table yet, and each reserve
// that loaded the jobs as well would delay the candidates.
func (h *Host) askAboutJobs(ctx context.Context, q jobQuery) (jobAnswer, error) {
	q.Call = callOf(ctx)
	body, err := jobQueries.Encode(q)
	if err != nil {
		return jobAnswer{}, err
	}
	reached := false
	var outdated *jobAnswer
	for range maxJobQueries {
		candidate, ok := h.jobHosts.first()
		if !ok || outdated != nil && outdated.origin.source == candidate {
			break
		}
		sentAt := h.now()
		reply, err := h.askCandidate(ctx, candidate, body)
		if err == nil && reply.Loaded {
			h.noTableSince.Store(0)
			answer := jobAnswer{jobReply: reply, origin: reply.originAt(candidate, sentAt)}
			if answer.usable(h.now(), q) {
				return answer, nil
			}
			outdated = &answer
		}
		reached = reached || err == nil || errors.Is(err, errNoReply)
		fields := []zap.Field{
			zap.String("request", string(q.Call)), zap.String("to", candidate), zap.String("job", string(q.Job)),
			zap.Bool("loaded", reply.Loaded), zap.Bool("readable", reply.Readable), zap.Error(err),
		}
		h.log.Info("job-query-failed", append(fields, reply.originAt(candidate, sentAt).fields(h.now())...)...)
		h.jobHosts.postpone(candidate)
	}
	if outdated != nil {
		return *outdated, nil
	}
	if !reached || h.noteNoTable() {
		h.followUnaided(ctx)
	}
	return jobAnswer{}, errNoTable
}

// askCandidate sends an encoded jobQuery to the host at an address.
func (h *Host) askCandidate(ctx context.Context, address string, body []byte) (jobReply, error) {
	limit := boundedWait(ctx, jobQueryTimeout, jobQueryShare)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, raw, err := h.jobsPath.CallPeer(ctx, address, relay.Request{Method: http.MethodPost, Path: "/", Body: body, Timeout: limit})
	if errors.Is(err, relay.ErrNoAnswer) {
		return jobReply{}, fmt.Errorf("%w: %w", errNoReply, err)
	}
	if err != nil {
		return jobReply{}, err
	}
	reply, err := jobReplies.Decode(raw)
	if err != nil {
		return jobReply{}, fmt.Errorf("%w: %w", errNoReply, err)
	}
	return reply, nil
}

// jobQueryTransport answers other hosts' questions about jobs.
type jobQueryTransport struct{ handler *clientHandler }

// RoundTrip implements http.RoundTripper.
func (t jobQueryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	q, err := jobQueries.Decode(body)
	if err != nil {
		t.handler.host.log.Warn("question-rejected", zap.Error(err))
		return nil, err
	}
	answer := t.handler.answerJobQuery(req.Context(), q)
	now := t.handler.host.now()
	t.handler.logJobQuery(q, answer, now)
	answer.Age, answer.Offset, answer.Counted, answer.Stale = answer.origin.age(now), answer.origin.offset, answer.origin.counted, answer.origin.stale
	raw, err := jobReplies.Encode(answer.jobReply)
	if err != nil {
		return nil, err
	}
	return relay.NewResponse(req, http.StatusOK, raw), nil
}

// answerJobQuery answers a question from this host's own table.
func (f *clientHandler) answerJobQuery(ctx context.Context, q jobQuery) jobAnswer {
	if q.Job == "" {
		got, loaded := f.countWaiting(ctx, q.Queue, questionReads)
		return jobAnswer{jobReply: jobReply{Loaded: loaded, Readable: loaded && got.readable, Waiting: got.jobs}, origin: got.origin}
	}
	v, readable := f.findInTable(ctx, q.Job, questionReads)
	if q.AwaitEnd && readable && v.state == jobtable.StateRunning {
		v = f.awaitEndInTable(ctx, q.Job, v)
	}
	reply := jobReply{Loaded: v.loaded, Readable: readable, Known: v.known, State: v.state, Customer: v.customer, Waiting: v.tombstones}
	return jobAnswer{jobReply: reply, origin: v.origin}
}

// logJobQuery logs the answer to another host's question.
func (f *clientHandler) logJobQuery(q jobQuery, a jobAnswer, now unit.Instant) {
	fields := []zap.Field{zap.String("request", string(q.Call)), zap.Bool("loaded", a.Loaded), zap.Bool("readable", a.Readable)}
	if q.Job == "" {
		fields = append(fields, zap.String("queue", string(q.Queue)), zap.Int("waiting", a.Waiting))
	} else {
		fields = append(fields, zap.String("job", string(q.Job)), zap.Bool("known", a.Known), zap.String("state", string(a.State)))
	}
	f.host.log.Info("job-query-answered", append(fields, a.origin.fields(now)...)...)
}

// originAt returns the origin of a candidate's answer to a question that was sent at
// sentAt. The answer counts as given at that time, since it can't be told when it was.
func (r jobReply) originAt(candidate string, sentAt unit.Instant) origin {
	o := origin{source: candidate, offset: r.Offset, counted: r.Counted, stale: r.Stale}
	if r.Age.Known() {
		o.completeAt = sentAt.Add(-time.Duration(r.Age))
	}
	return o
}

// usable reports whether the answer can be given to the client. That there is no
// such job is as of the question.
func (a jobAnswer) usable(now unit.Instant, q jobQuery) bool {
	return a.Readable && (a.origin.age(now).Usable() || q.Job != "" && (!a.Known || a.view().final()))
}

// count returns the answer as the number of waiting jobs.
func (a jobAnswer) count() waitingCount {
	return waitingCount{jobs: a.Waiting, origin: a.origin, readable: a.Readable}
}

// view returns the answer as the state of a job.
func (a jobAnswer) view() jobView {
	return jobView{known: a.Known, state: a.State, customer: a.Customer, tombstones: a.Waiting, origin: a.origin}
}
