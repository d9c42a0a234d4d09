// Package failure holds tests that break a running system of separate processes and check its promises.
//
// The scripts under testdata name the failure; the checks read what the stand-ins recorded.
package failure
