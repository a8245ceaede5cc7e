// Package speed estimates how slow workers are, from the progress and the ends
// of their runs.
//
// Nothing states in advance how long a task takes, so only tasks of one step
// can be compared, because their work is alike. The logarithm of the time that
// a task takes is modeled as the sum of the length of the step's tasks, the
// slowness of the worker, and noise. Progress turns the reports of a run into
// observations, Baseline estimates the length of a step's tasks, Estimate
// estimates the slowness of a worker like a Kalman filter, and Comparison
// decides whether the workers of a site differ at all.
package speed
