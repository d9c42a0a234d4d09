// Package deployment holds what the operator and the endpoints say of a deployment: routes, services,
// workspaces and endpoints, and the lookups that a host makes in them.
//
// It must not import I/O packages or the daemon.
package deployment
