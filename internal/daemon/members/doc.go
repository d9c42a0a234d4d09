// Package members executes the decisions of core/membership. It sends heartbeats and probes, reads the
// host list, and distributes service documents.
//
// It must not import ingress packages, nor any other package of the daemon except documents.
package members
