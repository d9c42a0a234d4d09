// Package leases carries out the decisions of core/lease against the object API.
//
// It is the only caller of core/lease besides tests. It must not import other daemon packages.
package leases
