// Package objectapi is the client of the platform's object API and owns its HTTP protocol.
//
// It holds no policy: it never retries, and it reports what is known about the effect of a write.
// It must not import daemon, ingress or standin packages.
package objectapi
