// Package ended tracks what is known of the end of one instance of an endpoint whose entry is still listed.
//
// It must not import I/O packages or the daemon.
package ended
