// Package layout decides which layers of a model each worker is to hold.
//
// Ranges may overlap freely: a request's path uses any part of what a worker holds. It must not import
// I/O packages or the daemon.
package layout
