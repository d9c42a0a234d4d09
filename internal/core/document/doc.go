// Package document owns service documents: parsing, checking, comparing and adopting generations.
//
// It must not import I/O packages or the daemon.
package document
