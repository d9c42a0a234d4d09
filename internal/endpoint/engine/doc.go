// Package engine is the client of model engines and defines their HTTP and JSON Lines protocol.
//
// It contains no policy: it never retries, and its errors report whether an engine may have received a
// request.
// It must not import daemon, ingress or standin packages.
package engine
