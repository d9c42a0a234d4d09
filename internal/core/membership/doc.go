// Package membership owns the view of the hosts: which are live, which relay, what they have
// adopted, and the order in which callers are told their addresses.
//
// It must not import I/O packages or the daemon.
package membership
