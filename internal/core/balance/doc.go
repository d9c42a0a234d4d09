// Package balance chooses an endpoint of a plain service for each request.
//
// It must not import I/O packages or the daemon.
package balance
