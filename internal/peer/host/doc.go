// Package host is the client and the server of the protocol between hosts, drpc over TCP.
//
// It turns calls into messages and back; it holds no policy and must not import the daemon.
package host
