// Package benchload measures the policy for scarce capacity: it runs the real decision core of several
// hosts in simulated time over stand-in pipelines that have service times only.
//
// It is part of the tests and must not be imported by the product.
package benchload
