// Package settings reads and validates the settings file of the daemon.
//
// It must not import any other package of this module except internal/core.
package settings
