// Package benchpath measures the data path of a running daemon process against stand-ins on loopback. It reports
// latency, processor time, memory and calls to the platform.
//
// It is part of the tests and must not be imported by production code.
package benchpath
