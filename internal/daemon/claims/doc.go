// Package claims executes the decisions of core/claim against the object API.
//
// It is the only caller of core/claim besides tests and benchmarks. It must not import other
// daemon packages.
package claims
