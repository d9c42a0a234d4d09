// Package hostlist is the client of the platform's list of live and leaving hosts.
//
// It holds no policy; the list lags, and its readers decide what to believe.
// It must not import daemon, ingress or standin packages.
package hostlist
