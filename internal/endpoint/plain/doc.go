// Package plain is the client of plain services.
//
// It writes each call at most once and never retries; its errors say whether a byte may have been sent.
// It must not import daemon, ingress or standin packages.
package plain
