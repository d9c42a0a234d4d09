// Package journal writes the daemon's structured log and keeps the recent decisions of each request.
//
// It must not import any other package of this module but internal/core/table.
package journal
