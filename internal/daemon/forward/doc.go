// Package forward sends requests of callers to endpoints and relays their responses.
//
// It carries out the decisions of core/path, core/balance and core/retry. It must not import ingress, endpoint or
// peer packages: endpoints are reached through the interface declared here.
package forward
