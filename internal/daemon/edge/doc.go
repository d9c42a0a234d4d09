// Package edge wires the daemon of an entry host on a platform that keeps configuration, endpoints and host
// records in its store: it follows the store, tells other hosts, answers where to connect, and starts and stops
// the listeners in order.
//
// The platform's formats and calls come in through Platform; the package must not import endpoint packages.
package edge
