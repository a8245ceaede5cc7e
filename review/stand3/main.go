//go:build review

// Command stand3 plays the scripted cases of the third review: it starts the
// project's processes beside stand-ins of the platform, and judges what clients and
// executors see.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	maxTotal = 115 * time.Second
)

// errSetUp reports that a case couldn't be set up.
var errSetUp = errors.New("the case couldn't be set up")

// scenario plays a case, with or without its disruption. It returns what broke the
// rule, or an empty text.
type scenario func(s *site, trouble bool) (string, error)

var scenarios = map[string]scenario{
	"away":    playAway,
	"stray":   playStray,
	"foreign": playForeign,
	"suffix":  playSuffix,
	"timed":   playTimed,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE PROGRAM RECORD")
		os.Exit(notRun)
	}
	play, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	s, err := newSite(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	code := make(chan int, 1)
	go func() { code <- judge(play, s) }()
	select {
	case c := <-code:
		s.close()
		os.Exit(c)
	case <-stop:
	case <-time.After(maxTotal):
	}
	fmt.Println("not run: stopped, or out of time")
	s.close()
	os.Exit(notRun)
}

// judge plays a case and returns the exit code.
func judge(play scenario, s *site) (code int) {
	defer func() {
		if problem := recover(); problem != nil {
			fmt.Println("not run:", problem)
			code = notRun
		}
	}()
	what, err := play(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.event("verdict", "not-run", err)
		fmt.Println("not run:", err)
		return notRun
	case what != "":
		s.event("verdict", "broken", what)
		fmt.Println("broken:", what)
		return broken
	}
	s.event("verdict", "held", "yes")
	fmt.Println("held")
	return held
}
