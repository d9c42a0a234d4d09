// Package credentials loads certificates and callers' tokens from files and reloads them when they change.
//
// It must not import any other package of this module but internal/core.
package credentials
