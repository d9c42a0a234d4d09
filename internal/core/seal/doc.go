// Package seal encrypts and decrypts the event ids with which any host can resume a stream.
//
// It owns the format of the ids and the chain digest of the delivered text.
// It may import only the standard library, eris and other core packages.
package seal
