// Package benchfleet runs the endpoint ownership of many hosts in one process, for benches and tests.
package benchfleet
