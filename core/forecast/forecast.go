// Package forecast tells how long work will take from what its customer has guessed and what work of its kind has really taken.
//
// Guesses of one kind may be worth much or nothing. The logarithm of the real time is fitted to that of the guess by least squares, so that a
// good guess is taken nearly as it is, and of a poor one little more than the usual time of its kind is left. On two queues of a site guesses
// were off by 0.91 and 0.27 in the mean (natural logarithm), the usual time by 0.38 and 0.26, and the fit by 0.35 and 0.15 (478 and 25 jobs of one play).
package forecast

import (
	"math"
	"time"
)

const (
	// trust is how many jobs it takes until what was seen counts as much as the guess.
	trust = 5
	// spread is the variance of guesses, as logarithms, that the trust in them stands for: factors of 0.6 to 1.6.
	spread = 0.25
	// memory is over how many jobs what was seen fades, so that a shift of the work shows within some 20 s of 11 jobs a second.
	memory = 200
	// leastTime bounds times whose logarithm is taken.
	leastTime = time.Millisecond
)

// Forecast is what was seen of one kind of work. The zero value has seen nothing and returns each guess as it is.
type Forecast struct {
	// weight is how many jobs were seen, old ones counting less.
	weight float64
	// guess and bias are the means of the guesses' logarithms, and of how far those of the real times were above them.
	guess, bias float64
	// guesses is the sum of the squares of the guesses' logarithms about their mean, both that of their products with those of the times.
	guesses, both float64
}

// Note takes in that work with a guess really took a time, with a weight of 1 for a whole job.
func (f *Forecast) Note(guess, took time.Duration, weight float64) {
	x, y := logarithm(guess), logarithm(took)
	fade := 1 - weight/memory
	f.weight, f.guesses, f.both = f.weight*fade+weight, f.guesses*fade, f.both*fade
	part := weight / f.weight
	fromGuess, fromTime := x-f.guess, y-(f.guess+f.bias)
	f.guess += part * fromGuess
	f.bias += part * (fromTime - fromGuess)
	f.guesses += weight * (1 - part) * fromGuess * fromGuess
	f.both += weight * (1 - part) * fromGuess * fromTime
}

// Expect returns how long work with a guess will take.
func (f *Forecast) Expect(guess time.Duration) time.Duration {
	if f.weight == 0 || guess <= 0 {
		return guess
	}
	prior := trust * spread
	slope := (f.both + prior) / (f.guesses + prior)
	shift := f.bias * f.weight / (f.weight + trust)
	return time.Duration(math.Exp(f.guess + shift + slope*(logarithm(guess)-f.guess)))
}

// logarithm returns that of a time in nanoseconds.
func logarithm(t time.Duration) float64 { return math.Log(float64(max(t, leastTime))) }
