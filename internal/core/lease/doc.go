// Package lease decides which host owns a named duty at a time.
//
// It owns the life cycle of a lease and the content of its object. Clock readings must be monotonic
// within one host; those of different hosts are never compared. It must not import I/O packages.
package lease
