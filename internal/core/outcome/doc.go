// Package outcome determines whether a failed request was not executed, was executed, or may have
// been executed.
//
// It is the only package that decides this; every error path builds its response here.
// It must not import any other package of this module.
package outcome
