// Package plain is the client of plain services.
//
// It sends each call at most once and never retries. Its errors report whether any byte may have been sent.
// It must not import daemon, ingress or standin packages.
package plain
