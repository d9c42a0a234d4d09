// Package jsonc decodes JSON with comments strictly and reports errors with line and field.
//
// It must not import any other package of this module.
package jsonc
