// Package benchpath measures the data path of the daemon as a process: latency, processor time, memory and
// calls on the platform, beside stand-ins on loopback.
//
// It is part of the tests and must not be imported by the product.
package benchpath
