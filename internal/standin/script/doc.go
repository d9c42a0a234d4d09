// Package script is a TCP server that answers HTTP requests byte by byte as a script says.
//
// Contract tests use it for answers that no correct server gives: truncated, oversized, silent or reset.
// It must not import any other package of this module.
package script
