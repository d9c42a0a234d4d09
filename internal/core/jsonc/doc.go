// Package jsonc strictly decodes JSON with comments and reports errors with their line and field.
//
// It must not import any other package of this module.
package jsonc
