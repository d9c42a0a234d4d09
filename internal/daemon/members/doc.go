// Package members carries out the decisions of core/membership: heartbeats, probes, the reading of
// the host list, and the spreading of service documents.
//
// It must not import ingress packages or other packages of the daemon but documents.
package members
