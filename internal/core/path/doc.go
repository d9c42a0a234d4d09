// Package path chooses the workers through which a streamed request passes, layer by layer, and finds out
// which worker holds up streams that have fallen silent.
//
// It must not import I/O packages or the daemon.
package path
