// Package plain is a stand-in for a plain service that records what it executes.
//
// It is for tests and test programs only. Faults are set by its methods or over HTTP under /standin/.
// It must not import daemon, ingress, endpoint or platform packages.
package plain
