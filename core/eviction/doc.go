// Package eviction decides which runs are preempted for urgent work. It takes
// values and returns a choice, and knows nothing of runs or workers. The load
// that it answers: urgent work arrives on workers that are full of work of lower
// priority.
package eviction
