// Package limit divides the request rates that endpoints name between the hosts that send to them.
//
// It owns what endpoints have named, the share of this host and its use. It may import only the standard library, a token
// bucket and core/deployment.
package limit
