// Package layout decides which layers of a model each worker holds.
//
// Ranges may overlap freely: a request's path may use any part of a worker's range. The package must not import I/O
// packages or the daemon.
package layout
