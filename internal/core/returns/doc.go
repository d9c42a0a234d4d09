// Package returns tells refused callers when to come back, so that they find capacity and do not all come at once.
//
// It must not import I/O packages or the daemon.
package returns
