// Package dispatch executes the decisions of core/routing.
//
// Apart from tests and benchmarks, only this package uses routing.System. One goroutine owns the system. The package
// must not import endpoint, platform, peer or ingress packages.
package dispatch
