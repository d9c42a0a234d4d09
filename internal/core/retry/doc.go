// Package retry bounds how often requests are sent again.
//
// It must not import I/O packages or the daemon.
package retry
