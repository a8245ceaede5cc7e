//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
)

// errRun reports that a case couldn't run.
var errRun = errors.New("the case couldn't run")

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(notRun)
	}
	run := map[string]func(*site, bool) (string, error){"cancel": cancelCase, "wave": waveCase, "flap": flapCase, "large": largeCase}[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	os.Exit(execute(run))
}

// execute runs a case and returns the exit code of its script.
func execute(run func(*site, bool) (string, error)) int {
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer s.close()
	broken, err := run(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.log("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case broken != "":
		s.log("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		return ruleBroken
	}
	s.log("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}
