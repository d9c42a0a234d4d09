// Package caller serves the HTTP interface for callers: addresses, streams and plain-service calls.
//
// It parses, bounds and authenticates requests and writes answers; every decision is made behind
// the Backend interface. It must not import daemon, platform, endpoint or peer packages.
package caller
