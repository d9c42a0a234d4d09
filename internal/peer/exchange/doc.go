// Package exchange is the protocol with which the hosts of a deployment exchange their states: drpc over TCP with
// JSON messages.
//
// It holds no policy and must not import the daemon.
package exchange
