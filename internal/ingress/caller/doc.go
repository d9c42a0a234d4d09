// Package caller serves the HTTP interface for callers: addresses, streams and plain-service calls.
//
// It parses and authenticates requests, enforces their limits and writes responses. All decisions are
// made behind the Backend interface. It must not import daemon, platform, endpoint or peer packages.
package caller
