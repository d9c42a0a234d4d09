// Package leases executes the decisions of core/lease against the object API.
//
// Apart from tests, only this package uses lease.System. It must not import other packages of the daemon.
package leases
