// Package engine is the client of model engines and owns their HTTP and JSON lines protocol.
//
// It holds no policy: it never retries, and its errors say whether an engine may have seen a request.
// It must not import daemon, ingress or standin packages.
package engine
