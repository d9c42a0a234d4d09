// Package script is a TCP server that responds to HTTP requests byte by byte, as a script defines.
//
// Contract tests use it for responses that a correct server does not send: truncated, oversized, missing
// or reset. It must not import any other package of this module.
package script
