// Package outcome decides whether a request was not run, ran, or may have run.
//
// It is the only place that makes this decision; every error path builds its answer here.
// It must not import any other package of this module.
package outcome
