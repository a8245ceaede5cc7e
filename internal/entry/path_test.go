package entry_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/entry"
)

// deadline is the time after which a script that makes no progress is aborted.
// No script asserts how long something takes.
const deadline = 40 * time.Second

// TestPath plays scripts over the whole path: entry hosts with their listeners,
// and stand-ins of the store and of the workers, which the hosts reach through
// the same adapter as on the platform.
//
//	hosts N | weak N | workers N     starts N of them; a weak host has a tenth of a core
//	domain D                         later workers are in this failure domain
//	evacuate D | open D              the operator evacuates or reopens a failure domain
//	operator KEY VALUE               appends a record to the operator's log
//	began N LEAST MOST               worker N has started LEAST to MOST runs
//	wave N MOST MACHINE...           the operator orders wave N of maintenance, with at
//	                                 most MOST machines at once; these are m-0, m-1, ...
//	maintained N                     waits until the status of wave N is completed
//	advice WORKER...                 from now on, starts need permits, which these workers
//	                                 don't get
//	submit HOST JOB TASKS PAYLOAD STATUS
//	                                 submits a job, repeats until the answer has the status
//	again HOST JOB STATUS            submits the same job once more
//	cancel HOST JOB STATUS           repeats until the answer has the status
//	state HOST JOB STATUS [STATE]    checks the status and the job's state once
//	await HOST JOB STATE             repeats until the job is in the state
//	awaitstatus HOST JOB STATUS      repeats until the answer has the status
//	pending HOST N                   repeats until N jobs wait in the queue
//	store FAULT | worker N FAULT     none, busy, lost, slow or silent
//	tellstart START                  later workers report this start of their incarnation,
//	                                 in ms since 1970
//	beginagain N START               worker N restarts under its id with this start, which
//	                                 its entry shows
//	entry N START                    its entry shows another start than the worker reports,
//	                                 like an entry that is written late
//	proxied                          the store and later workers are reached through proxies
//	links                            hosts reach each other through proxies; must come
//	                                 before any host starts
//	silence WHAT DIRECTION           open connections to WHAT (store, workers, all for both
//	                                 of these, or links for those between hosts) carry no
//	                                 more data to-target, from-target or both ways; new
//	                                 connections work
//	odd | nomoreodd                  another program leaves all odd entries in the list of
//	                                 workers | deletes them
//	rest DURATION                    waits
//	forget                           the store drops its history
//	keepmembers                      the store's group lists dead hosts forever
//	kill HOST | start HOST           a host ends without a planned stop | starts again
//	stop HOST | gone HOST            a planned stop begins | has ended
//	config VERSION KEY               the operator writes a configuration with this API key
//	key KEY                          clients send this API key from now on
//	submitall JOB N TASKS PAYLOAD    submits N jobs concurrently, spread over all hosts,
//	                                 until each is accepted
//	starts JOB N                     all workers together have started N runs of the job
//	metric HOST NAME                 the counter is served and isn't zero
//	awaitmetric HOST NAME            waits until the counter is served and isn't zero
//	unknown N                        N calls ended with an unknown outcome since the links
//	                                 were silenced
//	half HOST JOB | letgo STATUS     a client stops sending in the middle of a job | its
//	                                 host answers with the status and closes the connection
//	gathered                         some host has appended records for others
func TestPath(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		t.Parallel()
		newSite(t).run(text)
	})
}

// run plays a script until a command fails.
func (s *site) run(text string) {
	for i, l := range strings.Split(text, "\n") {
		f := strings.Fields(l)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		s.line = i + 1
		s.logs.log.Info("script", zap.Int("line", s.line), zap.Strings("command", f))
		s.do(f)
		if s.t.Failed() {
			return
		}
	}
}

// failf fails the test at the current line of the script.
func (s *site) failf(format string, args ...any) {
	s.t.Helper()
	s.t.Errorf("line %d: %s", s.line, fmt.Sprintf(format, args...))
}

func (s *site) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return n
}

// do executes one command of a script; TestPath describes the commands. It
// leaves those that it doesn't handle itself to doNetwork and doQuery.
func (s *site) do(f []string) {
	switch f[0] {
	case "hosts", "weak":
		for range s.number(f[1]) {
			s.hosts, s.stops, s.ended = append(s.hosts, nil), append(s.stops, nil), append(s.ended, nil)
			s.cores = append(s.cores, map[string]float64{"hosts": 1, "weak": 0.1}[f[0]])
			s.startHost(len(s.hosts) - 1)
		}
	case "start":
		s.startHost(s.number(f[1]))
	case "advice":
		s.startAdvice(f[1:])
	case "domain":
		s.domain = f[1]
	case "evacuate":
		s.store.Evacuate(f[1])
	case "open":
		s.store.EndEvacuation(f[1])
	case "operator":
		s.store.Put("keyed.op", f[1], []byte(f[2]))
	case "began":
		s.checkStartsOn(s.number(f[1]), s.number(f[2]), s.number(f[3]))
	case "wave":
		body := fmt.Sprintf(`{"wave":%s,"Machines":["%s"],"FinishByS":8,"UpperLimit":%s}`, f[1], strings.Join(f[3:], `","`), f[2])
		s.store.Put("keyed.op", "wave/"+f[1], []byte(body))
	case "maintained":
		s.awaitWave(f[1])
	case "kill":
		s.stops[s.number(f[1])]()
	case "stop":
		s.hosts[s.number(f[1])].Stop()
	case "gone":
		select {
		case <-s.ended[s.number(f[1])]:
		case <-time.After(deadline):
			s.failf("host %s has not stopped", f[1])
		}
	case "config":
		c := strings.Replace(configuration, `"Version":1`, `"Version":`+f[1], 1)
		s.store.Put("keyed.op", "config", []byte(strings.Replace(c, `["key"]`, `["`+f[2]+`"]`, 1)))
	case "key":
		s.key = f[1]
	case "workers":
		for range s.number(f[1]) {
			s.startWorker()
		}
	case "store":
		s.store.SetFault(fault(f[1]))
	case "gathered":
		if !s.anyGathered() {
			s.failf("no host has appended records for others")
		}
	case "submitall":
		s.submitAll(f)
	case "proxied", "links", "silence", "rest", "unknown", "half", "letgo":
		s.doNetwork(f)
	case "worker":
		s.worker(s.number(f[1])).SetFault(fault(f[2]))
	case "tellstart":
		s.workerStart = int64(s.number(f[1]))
	case "beginagain":
		s.worker(s.number(f[1])).Restart(int64(s.number(f[2])))
		s.putEntry(s.number(f[1]), int64(s.number(f[2])))
	case "entry":
		s.putEntry(s.number(f[1]), int64(s.number(f[2])))
	case "odd":
		entry.OddEntries(s.t, func(key string, _ bool, value []byte) { s.store.Put("keyed.servers", key, value) })
	case "nomoreodd":
		entry.OddEntries(s.t, func(key string, _ bool, _ []byte) { s.store.Put("keyed.servers", key, nil) })
	case "keepmembers":
		s.store.KeepExpiredMembers()
	case "forget":
		s.store.DropHistory()
	default:
		s.doQuery(f)
	}
}
