package entry_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/scripttest"
)

// deadline is when a script that makes no progress is given up. No script asserts how
// long something takes.
const deadline = 40 * time.Second

// TestPath plays scripts over the whole path: entry hosts with their listeners, and
// stand-ins of the store and the workers behind the same adapter as on the platform.
//
//	hosts N | weak N | workers N     starts so many; a weak host has a tenth of a core
//	domain D                         workers that start later are in this failure domain
//	evacuate D | open D              the operator evacuates a failure domain, or takes that back
//	operator KEY VALUE               the operator's log gets such a record
//	began N LEAST MOST               worker N has started so many runs
//	wave N MOST MACHINE...           the operator asks for maintenance; machines are m-0 and so on
//	maintained N                     waits until wave N is told to be completed
//	advice WORKER...                 from now on, starts need permits, which these don't get
//	submit HOST JOB TASKS PAYLOAD STATUS [key=K] [attempts...]
//	again HOST JOB STATUS            submits the same job once more
//	cancel HOST JOB STATUS
//	state HOST JOB STATUS [STATE]
//	await HOST JOB STATE             asks until the job is in the state
//	awaitstatus HOST JOB STATUS      asks until the answer has the status
//	pending HOST N
//	store FAULT | worker N FAULT     none, busy, lost, slow or silent
//	tellstart START                  workers that start later tell when their lives began, in ms since 1970
//	beginagain N START               worker N begins again under its id, and its entry tells so
//	entry N START                    its entry tells another start than it does itself, as one that lands late
//	proxied                          proxies stand before the store and all workers that start later
//	links                            hosts reach each other through proxies; before any host
//	silence WHAT DIRECTION           open connections to the store, workers or all of these, or the links
//	                                 between hosts, carry nothing more: to-target, from-target or both;
//	                                 new ones work
//	rest DURATION                    lets time pass
//	forget                           the store drops its history
//	keepmembers                      the store's group shows dead hosts for ever
//	kill HOST | start HOST
//	stop HOST | gone HOST            a planned stop begins | has ended
//	config VERSION KEY               the operator writes a configuration with another key
//	key KEY                          clients show this key from now on
//	submitall JOB N TASKS PAYLOAD    submits N jobs at all hosts in turn, at once, until each is taken
//	starts JOB N                     all workers together have started N runs of it
//	metric HOST NAME                 the counter is served and not zero
//	awaitmetric HOST NAME            waits until it is
//	unknown N                        so many calls ended unknown since links were silenced
//	half HOST JOB | letgo STATUS     a client goes silent while it submits | its host answers and
//	                                 closes the connection
//	gathered                         some host has appended records for others
func TestPath(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		t.Parallel()
		newSite(t).run(text)
	})
}

// run plays a script until something fails.
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

// failf fails the test at the script's line.
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

// do carries out one command.
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
		s.store.Open(f[1])
	case "operator":
		s.store.Put("keyed.op", f[1], []byte(f[2]))
	case "began":
		s.began(s.number(f[1]), s.number(f[2]), s.number(f[3]))
	case "wave":
		body := fmt.Sprintf(`{"wave":%s,"Machines":["%s"],"FinishByS":8,"UpperLimit":%s}`, f[1], strings.Join(f[3:], `","`), f[2])
		s.store.Put("keyed.op", "wave/"+f[1], []byte(body))
	case "maintained":
		s.maintained(f[1])
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
		if !s.gathered() {
			s.failf("no host has appended records for others")
		}
	case "submitall":
		s.submitAll(f)
	case "proxied", "links", "silence", "rest", "unknown", "half", "letgo":
		s.doSilent(f)
	case "worker":
		s.worker(s.number(f[1])).SetFault(fault(f[2]))
	case "tellstart":
		s.tells = int64(s.number(f[1]))
	case "beginagain":
		s.worker(s.number(f[1])).BeginAgain(int64(s.number(f[2])))
		s.putEntry(s.number(f[1]), int64(s.number(f[2])))
	case "entry":
		s.putEntry(s.number(f[1]), int64(s.number(f[2])))
	case "keepmembers":
		s.store.KeepMembers()
	case "forget":
		s.store.Forget()
	default:
		s.ask(f)
	}
}
