// Package lease ensures that at most one host at a time holds the lease of a named duty.
//
// It implements the lifecycle of a lease and the content of its object. Clock readings must be
// monotonic within one host; those of different hosts are never compared. It must not import
// I/O packages.
package lease
