// Package experiment compares policies of the owner on a model of a site in virtual time.
//
// The packages below it are the steps of one experiment:
//
//   - setup reads the site and the experiment from INI files
//   - arrive draws the jobs that come, or takes them from a trace
//   - play plays them with one policy and one seed on a core/world
//   - batch plays all policies with all seeds
//   - result holds what came out, and compares policies seed by seed
//   - chart draws it
//
// docs/EXPERIMENTS.md says how to ask a question and how to read the answer.
package experiment
