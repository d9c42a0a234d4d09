// Package plain is a stand-in for a plain service that records what it executes.
//
// It is for tests and test programs only. Faults are injected by methods or over HTTP under /standin/.
// The package must not import daemon, ingress, endpoint or platform packages.
package plain
