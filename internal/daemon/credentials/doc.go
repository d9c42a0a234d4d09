// Package credentials loads certificates and callers' tokens from files and reloads them when the files change.
//
// It must not import any other package of this module except internal/core.
package credentials
