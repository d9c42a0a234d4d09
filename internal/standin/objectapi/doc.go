// Package objectapi is a stand-in for the platform: object API, host list and weight store limits.
//
// It is for tests and test programs only. Faults are set by its methods or over HTTP under /standin/.
// It must not import daemon, ingress, endpoint or platform packages.
package objectapi
