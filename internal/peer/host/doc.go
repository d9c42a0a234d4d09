// Package host implements the client and the server of the protocol between hosts, which is DRPC over TCP.
//
// It encodes calls as messages and decodes them. It contains no policy and must not import the daemon.
package host
