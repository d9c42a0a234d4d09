// Package command is the operators' command line. It speaks HTTP to the operator address of any host.
//
// It must not import daemon packages but daemon/settings, and no platform, endpoint or peer packages.
package command
