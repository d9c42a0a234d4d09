// Package connection decides which connections of callers a process closes to stay within its limits.
//
// It owns the accounting of request heads that have not been read whole, and of open connections. It may import only the
// standard library.
package connection
