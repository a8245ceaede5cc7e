// Package experiment compares scheduling policies of the owner on a simulated
// site in virtual time.
//
// The packages below it are the steps of one experiment:
//
//   - setup reads the site and the experiment from INI files
//   - arrive draws the jobs and faults at random, or takes the jobs from a trace
//   - play simulates one policy with one seed on a core/world
//   - batch plays all policies with all seeds
//   - result holds the results, and compares policies seed by seed
//   - chart draws charts of the results
//
// docs/EXPERIMENTS.md describes how to define an experiment and how to read its
// results.
package experiment
