// Package daemon is a stand-in for the operator interface of the daemon. It holds documents in memory,
// which three hosts adopt one after another, and faults set by the test.
//
// It is for tests only. It must not import daemon, client, endpoint or platform packages.
package daemon
