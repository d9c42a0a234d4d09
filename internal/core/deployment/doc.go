// Package deployment holds the configuration of the operator and the state that endpoints report: routes, services,
// workspaces and endpoints. It provides the lookups that a host makes in them.
//
// It must not import I/O packages or the daemon.
package deployment
