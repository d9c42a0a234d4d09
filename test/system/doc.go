// Package system starts a small system of separate processes on loopback: stand-ins and entry hosts.
//
// It is for the demo, the bench and tests of failures; it is no part of the product.
package system
