// Package exchange is the protocol by which the hosts of a deployment tell each other what they know: drpc over
// TCP with JSON messages.
//
// It holds no policy and must not import the daemon.
package exchange
