//go:build review

// Harness plays the scripted cases of the review: it starts the processes of a
// few entry hosts against stand-ins of the platform and the executors, brings a
// disruption about, and checks one rule. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 112 * time.Second

// scenario is one case. It returns an error if the case couldn't run.
type scenario struct {
	executors, racks, hosts int
	play                    func(s *site, trouble bool) error
}

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: harness CASE FOLDER")
		return 2
	}
	c, ok := scenarios[os.Args[1]]
	if _, err := os.Stat(program); !ok || err != nil {
		fmt.Println("no such case, or the program isn't built")
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	s, err := newSite(record, c.executors, c.racks)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan error, 1)
	go func() { ended <- s.prepare(c, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-ended:
	case <-time.After(limit):
		err = fmt.Errorf("the case takes longer than %v", limit)
	case sig := <-stop:
		err = fmt.Errorf("ended by %v", sig)
	}
	s.mu.Lock()
	violation := s.violation
	s.mu.Unlock()
	switch {
	case violation != "":
		fmt.Println("broken:", violation)
		return 1
	case err != nil:
		s.log("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	}
	s.log("the rule held")
	fmt.Println("held")
	return 0
}

// prepare starts the hosts and plays the case.
func (s *site) prepare(c scenario, trouble bool) error {
	s.config()
	for i := range c.hosts {
		if err := s.startHost(fmt.Sprintf("edge-%d", i+1)); err != nil {
			return err
		}
	}
	if !await(15*time.Second, func() bool {
		return s.submit("batch", warmJob, "run 300", stepBody{Count: 1, Cpu: 1000, MemMb: 100, EstimateMs: 300})
	}) {
		return fmt.Errorf("the first job isn't accepted")
	}
	if !await(15*time.Second, func() bool { time.Sleep(300 * time.Millisecond); return s.state("batch", warmJob) == "completed" }) {
		return fmt.Errorf("the first job isn't completed")
	}
	return c.play(s, trouble)
}

// warmJob is the job that shows that the deployment works.
const warmJob = "00000000000000aa"
