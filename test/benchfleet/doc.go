// Package benchfleet simulates the endpoint ownership of many hosts in one process, for benchmarks and tests.
package benchfleet
