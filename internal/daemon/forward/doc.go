// Package forward carries requests of callers to endpoints and answers back.
//
// It carries out the decisions of core/path, core/balance and core/retry. It must not import ingress, endpoint
// or peer packages: endpoints come in through the interface declared here.
package forward
