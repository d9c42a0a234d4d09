// Package stream decides about the life of every answer stream of a host.
//
// It owns the life cycle of a stream, the choice of a way to recover, and the pace of recoveries.
// Tokens do not pass through it. It must not import anything but the standard library, stateless,
// eris and other core packages.
package stream
