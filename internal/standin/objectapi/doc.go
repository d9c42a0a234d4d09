// Package objectapi is a stand-in for the platform: the object API, the host list and the limits of the
// weight store.
//
// It is for tests and test programs only. Faults are injected by methods or over HTTP under /standin/.
// The package must not import daemon, ingress, endpoint or platform packages.
package objectapi
