// Package receipt checks the token receipts of one stream.
//
// It enforces that every model layer ran exactly once and in order for each delivered token.
// It must not import anything but the standard library and other core packages.
package receipt
