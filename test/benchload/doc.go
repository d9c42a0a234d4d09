// Package benchload measures the routing policy under scarce capacity. It runs the production decision core of
// several hosts in simulated time over stand-in pipelines that only model service times.
//
// It is part of the tests and must not be imported by production code.
package benchload
