// Package stream controls the lifecycle of every response stream of a host.
//
// It owns the states of a stream, the choice of a recovery method, and the rate limit of recoveries.
// Tokens do not pass through it. It must not import anything but the standard library, stateless,
// eris and other core packages.
package stream
