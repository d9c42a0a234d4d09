// Package seal makes and opens the sealed event ids by which any host can resume a stream.
//
// It owns the format of the ids and the chain digest of delivered text.
// It must not import anything but the standard library, eris and other core packages.
package seal
