// Package document parses, validates and compares service documents, and holds the generation in
// force of each.
//
// It must not import I/O packages or the daemon.
package document
