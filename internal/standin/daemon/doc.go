// Package daemon is a stand-in for the daemon as operators see it: documents in memory that three
// hosts adopt one by one, and faults set by the test.
//
// It is for tests only. It must not import daemon, client, endpoint or platform packages.
package daemon
