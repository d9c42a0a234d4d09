// Package path chooses the workers that run a streamed request, layer by layer, and detects which worker stalls
// streams.
//
// It must not import I/O packages or the daemon.
package path
