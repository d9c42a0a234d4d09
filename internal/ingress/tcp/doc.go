// Package tcp listens for connections of callers, and limits what these may send before a request is served.
//
// The decisions are those of core/connection. It must not import daemon, platform, endpoint or peer packages.
package tcp
