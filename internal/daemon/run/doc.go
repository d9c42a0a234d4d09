// Package run assembles the daemon. It builds the components from the settings, serves the listeners,
// and starts and stops the components in order.
//
// It contains no policy. Only cmd and test programs may import it.
package run
