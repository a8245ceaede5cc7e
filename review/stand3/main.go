//go:build review

// Command stand3 plays the scripted cases of the third review: it starts the
// project's processes beside stand-ins of the platform, and judges what clients and
// executors see.
package main

import (
	"errors"
	"fmt"
	"os"
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
	"crashes": playCrashes,
	"stray":   playStray,
	"foreign": playForeign,
	"suffix":  playSuffix,
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
	time.AfterFunc(maxTotal, func() {
		fmt.Println("not run: out of time")
		s.close()
		os.Exit(notRun)
	})
	what, err := play(s, os.Getenv("TROUBLE") != "0")
	code := held
	switch {
	case err != nil:
		code = notRun
		s.event("verdict", "not-run", err)
		fmt.Println("not run:", err)
	case what != "":
		code = broken
		s.event("verdict", "broken", what)
		fmt.Println("broken:", what)
	default:
		s.event("verdict", "held", "yes")
		fmt.Println("held")
	}
	s.close()
	os.Exit(code)
}
