// Package hostlist is the client of the platform's list of live and leaving hosts.
//
// It contains no policy. The list may be out of date, and its users decide how far to rely on it.
// It must not import daemon, ingress or standin packages.
package hostlist
