package forecast_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/forecast"
	"curlewsill.org/curlewsill/core/scripttest"
)

// TestScripts plays the scripts of testdata. A line is a command:
//
//	note GUESS TOOK [TIMES]        work with that guess took so long, so often
//	expect GUESS LEAST MOST        what is expected of work with that guess lies between these
//	random SEED JOBS MEAN SPREAD OFF    so many jobs, whose times have that mean and spread, and whose guesses are off by so much (of logarithms)
//	error SEED JOBS MEAN SPREAD OFF MOST    of so many others the expected time is off by at most so much in the mean
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, text string) {
		var f forecast.Forecast
		for i, l := range strings.Split(text, "\n") {
			if w := strings.Fields(l); len(w) > 0 && w[0] != "#" {
				play(t, &f, i+1, w)
			}
		}
	})
}

func play(t *testing.T, f *forecast.Forecast, line int, w []string) {
	switch w[0] {
	case "note":
		times := 1
		if len(w) > 3 {
			times = int(number(t, w[3]))
		}
		for range times {
			f.Note(duration(t, w[1]), duration(t, w[2]), 1)
		}
	case "expect":
		if got := f.Expect(duration(t, w[1])); got < duration(t, w[2]) || got > duration(t, w[3]) {
			t.Errorf("line %d: %v is expected", line, got)
		}
	case "random":
		each(t, w, f.Note)
	case "error":
		off, n := 0.0, 0.0
		each(t, w, func(guess, took time.Duration, _ float64) {
			off += math.Abs(math.Log(f.Expect(guess).Seconds() / took.Seconds()))
			n++
		})
		if off/n > number(t, w[6]) {
			t.Errorf("line %d: off by %.2f in the mean", line, off/n)
		}
	default:
		t.Fatalf("line %d: unknown command %s", line, w[0])
	}
}

// each draws jobs and hands on the guess and the time of each.
func each(t *testing.T, w []string, do func(guess, took time.Duration, weight float64)) {
	r := rand.New(rand.NewPCG(uint64(number(t, w[1])), 0))
	mean, spread, off := duration(t, w[3]), number(t, w[4]), number(t, w[5])
	for range int(number(t, w[2])) {
		took := mean.Seconds() * math.Exp(spread*r.NormFloat64())
		guess := took * math.Exp(off*r.NormFloat64())
		do(time.Duration(guess*float64(time.Second)), time.Duration(took*float64(time.Second)), 1)
	}
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func number(t *testing.T, text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return x
}
