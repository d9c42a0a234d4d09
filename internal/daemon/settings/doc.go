// Package settings reads and checks the settings file of the daemon.
//
// It must not import any other package of this module but internal/core.
package settings
