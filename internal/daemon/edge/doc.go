// Package edge wires the daemon of an entry host on a platform that keeps configuration, endpoints and host records
// in its store. It follows the store, reports to other hosts, serves the directory of addresses, and starts and
// stops the listeners in order.
//
// The platform's formats and calls come in through Platform; the package must not import endpoint packages.
package edge
