// Package membership keeps the cluster view of one host: which hosts are live, which act as
// relays, which document generations they have adopted, and in which order their addresses
// are given to callers.
//
// It must not import I/O packages or the daemon.
package membership
