// Package system starts a small system of separate processes on loopback: stand-ins and entry hosts.
//
// The demo, the benchmarks and the failure tests use it. It is not part of the product.
package system
