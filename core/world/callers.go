package world

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/freshness"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
)

// Callers says how callers ask the hosts about jobs.
type Callers struct {
	// Interval is the mean time between two questions; 0 for none.
	Interval time.Duration
	// Wrong makes the hosts give wrong answers, so that tests can show that the
	// checks find them.
	Wrong WrongAnswers
}

// WrongAnswers selects the wrong ways in which hosts answer.
type WrongAnswers struct {
	// AnyAge answers by a table however old it is.
	AnyAge bool
	// KeepsCounts reuses a count of waiting jobs for seconds, and takes it for as
	// new as the table is.
	KeepsCounts bool
	// UnreadGone says that there is no such job without reading the store first.
	UnreadGone bool
	// ForgetsWay takes another host's answer for as new as it was when that host
	// gave it.
	ForgetsWay bool
	// PlacedIsBegun takes a job as begun once its first task was placed.
	PlacedIsBegun bool
	// UnknownUnrecorded acknowledges the cancelling of a job that the store doesn't
	// have without a record of it.
	UnknownUnrecorded bool
	// OpenIsRunning shows all open jobs as running.
	OpenIsRunning bool
}

const (
	// cutOffEvery is the mean time between two losses of the path from one of the
	// hosts to the store, and longestCutOff how long a loss lasts at most.
	cutOffEvery   = 15 * time.Second
	longestCutOff = 15 * time.Second
	// slowRelays is the share of questions to another host that take up to
	// slowestRelay one way. Others take up to usualRelay.
	slowRelays   = 0.1
	usualRelay   = 20 * time.Millisecond
	slowestRelay = 3 * time.Second
	// askedJobs is how many of the newest jobs callers ask for. They ask for an
	// ended job until askedAfterEnd.
	askedJobs     = 40
	askedAfterEnd = 60 * time.Second
)

// callers ask the hosts about jobs and check the answers. Their randomness has a
// stream of its own, and the hosts answer from tables of their own: questions
// don't change what the owner does.
type callers struct {
	world  *World
	random *rand.Rand
	// log has the records of the jobs log.
	log       []jobtable.Record
	followers []*follower
	// open holds the jobs that may still count as waiting somewhere.
	open []*submittedJob
	// submitted holds the submitted jobs of which callers ask.
	submitted []*submittedJob
}

// callersStream tells the callers' random numbers from others of a seed.
const callersStream = 0x63616c6c

// startCallers lets callers ask if the setup has any.
func (w *World) startCallers() {
	w.callers = callers{world: w, random: rand.New(rand.NewPCG(w.setup.Seed, callersStream))}
}

// on reports whether callers ask anything.
func (c *callers) on() bool { return c.world.setup.Callers.Interval > 0 }

// begin schedules the first question and the first loss of a path.
func (c *callers) begin() {
	if !c.on() {
		return
	}
	c.scheduleQuestion()
	c.scheduleCutOff()
}

// follow gives a host a new table.
func (c *callers) follow(h *host) {
	if !c.on() {
		return
	}
	for _, f := range c.followers {
		if f.host == h {
			f.restart()
			return
		}
	}
	f := &follower{world: c.world, host: h}
	c.followers = append(c.followers, f)
	f.restart()
}

// stored adds a record to the log that the hosts follow.
func (c *callers) stored(r jobtable.Record) {
	if !c.on() {
		return
	}
	c.log = append(c.log, r)
}

// newestBefore returns the position of the newest record of each key before a
// position of the log.
func (c *callers) newestBefore(end int) map[string]int {
	newest := map[string]int{}
	for i, r := range c.log[:end] {
		newest[r.Key] = i
	}
	return newest
}

// storedProgress puts a wrong summary of a job with a placed task into the log that
// the hosts follow, if they are to answer so.
func (c *callers) storedProgress(r jobtable.Record) {
	_, name, _ := strings.Cut(r.Key, "/")
	if !c.on() || !c.world.setup.Callers.Wrong.PlacedIsBegun {
		return
	}
	j := id.Job(name)
	e := c.world.table.Get(j)
	if e == nil || e.Summary != nil || !e.Progress.Started() {
		return
	}
	summary, err := c.world.table.SummaryRecord(j, jobtable.Summary{})
	if err != nil {
		c.world.recordViolation("cannot encode a summary: " + err.Error())
		return
	}
	c.stored(summary)
}

// noteSubmitted records a job that callers may ask for.
func (c *callers) noteSubmitted(s *submittedJob) {
	if c.on() {
		c.open, c.submitted = append(c.open, s), append(c.submitted, s)
	}
}

// duration returns a random duration.
func (c *callers) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.random.Int64N(int64(to-from)))
}

// exponential returns a random duration with a mean.
func (c *callers) exponential(mean time.Duration) time.Duration {
	return scale(mean, c.random.ExpFloat64())
}

// scheduleCutOff schedules the next loss of the path from a host to the store.
func (c *callers) scheduleCutOff() {
	c.world.Schedule(c.exponential(cutOffEvery), func() {
		f := c.followers[c.random.IntN(len(c.followers))]
		f.cutOffUntil = max(f.cutOffUntil, c.world.now.Add(c.duration(100*time.Millisecond, longestCutOff)))
		c.scheduleCutOff()
	})
}

// scheduleQuestion schedules the next question.
func (c *callers) scheduleQuestion() {
	c.world.Schedule(c.exponential(c.world.setup.Callers.Interval), func() {
		c.ask()
		c.scheduleQuestion()
	})
}

// question is a caller's question about a job, or for the number of waiting jobs
// of a queue if job is empty.
type question struct {
	job   id.Job
	queue id.Queue
}

// answer is a host's answer.
type answer struct {
	refused bool
	// waiting is the number of waiting jobs.
	waiting int
	// gone says that there is no such job. Otherwise state is its state.
	gone  bool
	state jobtable.State
	// age is how old the answer is, and lasts whether it can't change any more.
	age   freshness.Age
	lasts bool
}

// ask asks one host a question. A host that is down or ends meanwhile gives no
// answer.
func (c *callers) ask() {
	f := c.followers[c.random.IntN(len(c.followers))]
	q, s := c.draw()
	if !f.host.up {
		return
	}
	c.world.tally.Questions++
	f.answer(q, func(a answer) {
		if a.refused {
			c.world.tally.Refusals++
			return
		}
		c.check(f, q, s, a)
	})
}

// draw draws a question, and returns the job that it is about, if any.
func (c *callers) draw() (question, *submittedJob) {
	kind := c.random.IntN(20)
	if kind == 0 {
		return question{job: id.Job(fmt.Sprintf("unknown-%d", c.random.IntN(1000)))}, nil
	}
	n := min(len(c.submitted), askedJobs)
	if n == 0 {
		return question{job: "unknown"}, nil
	}
	s := c.submitted[len(c.submitted)-1-c.random.IntN(n)]
	if kind < 10 || s.endedAt != 0 && c.world.now.Sub(s.endedAt) > askedAfterEnd {
		return question{queue: s.Spec.Queue}, nil
	}
	return question{job: s.Name}, s
}

// answer answers a question. A host without a table asks another host.
func (f *follower) answer(q question, done func(answer)) {
	if f.loaded {
		f.answerFromTable(q, done)
		return
	}
	w, c := f.world, &f.world.callers
	g := c.followers[c.random.IntN(len(c.followers))]
	sent, incarnation, theirs := w.now, f.incarnation, g.incarnation
	there, back := c.relayTime(), c.relayTime()
	if !g.loaded || !g.lives(theirs) {
		done(answer{refused: true})
		return
	}
	w.Schedule(there, func() {
		if !g.lives(theirs) {
			return
		}
		g.answerFromTable(q, func(a answer) {
			w.Schedule(back, func() {
				if !f.lives(incarnation) {
					return
				}
				if !w.setup.Callers.Wrong.ForgetsWay {
					a.age = a.age.Later(w.now.Sub(sent))
				}
				done(f.unlessTooOld(a))
			})
		})
	})
}

// relayTime returns how long a message to another host takes.
func (c *callers) relayTime() time.Duration {
	if c.random.Float64() < slowRelays {
		return c.duration(usualRelay, slowestRelay)
	}
	return c.duration(time.Millisecond, usualRelay)
}

// answerFromTable answers a question from the host's own table, which it first
// brings up to date if that is needed.
func (f *follower) answerFromTable(q question, done func(answer)) {
	wrong := f.world.setup.Callers.Wrong
	first := f.view(q)
	unread := first.gone && !wrong.UnreadGone
	if first.lasts || !unread && f.tableAge().Current() {
		done(f.unlessTooOld(first))
		return
	}
	f.read(func(complete bool) {
		a := f.view(q)
		if a.gone && !complete && !wrong.UnreadGone {
			a.refused = true
		}
		done(f.unlessTooOld(a))
	})
}

// tableAge returns the age of the table.
func (f *follower) tableAge() freshness.Age { return freshness.Of(f.world.now, f.completeAt) }

// view returns the answer to a question by the table as it is.
func (f *follower) view(q question) answer {
	if q.job == "" {
		n, ok := f.count(q.queue)
		return answer{refused: !ok, waiting: n.Jobs, age: freshness.Of(f.world.now, n.Table.CompleteAt)}
	}
	a := answer{age: f.tableAge()}
	e := f.table.Get(q.job)
	if !e.Accepted() {
		a.gone = true
		return a
	}
	a.state, a.lasts = e.State(), e.Ended() || e.Cancelled
	if a.state == jobtable.StateQueued && f.world.setup.Callers.Wrong.OpenIsRunning {
		a.state = jobtable.StateRunning
	}
	return a
}

// unlessTooOld refuses an answer that is too old to be given.
func (f *follower) unlessTooOld(a answer) answer {
	wrong := f.world.setup.Callers.Wrong
	if !a.lasts && !a.age.Usable() && !wrong.AnyAge && !(a.gone && wrong.UnreadGone) {
		a.refused = true
	}
	return a
}
