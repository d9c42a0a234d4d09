// Package journal writes the structured log of the daemon and keeps the log lines of recent requests in memory.
//
// It must not import any package of this module other than internal/core/table.
package journal
