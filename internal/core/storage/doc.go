// Package storage defines the results and errors of calls to the object API.
//
// It must not import any other package of this module.
package storage
