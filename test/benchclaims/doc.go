// Package benchclaims measures at-most-once claims against an in-memory store.
//
// It is used by the bench program and by Go benchmarks and must not be imported by production code.
package benchclaims
