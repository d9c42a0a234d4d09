// Package signals takes over the signals of the operating system whose default action would end a daemon together with
// the requests that it serves.
package signals
