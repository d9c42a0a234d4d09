// Package benchclaims measures at-most-once claims against an in-memory store.
//
// It is used by the bench program and by Go benchmarks and is never part of the product.
package benchclaims
