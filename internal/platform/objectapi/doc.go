// Package objectapi is the client of the platform's object API and defines its HTTP protocol.
//
// It contains no policy: it never retries, and its errors report whether a write may have taken effect.
// It must not import daemon, ingress or standin packages.
package objectapi
