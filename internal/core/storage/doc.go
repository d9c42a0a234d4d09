// Package storage holds how a call to the object API ended, as the decision core sees it.
//
// It must not import any other package of this module.
package storage
