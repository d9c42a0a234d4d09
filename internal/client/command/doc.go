// Package command implements the operators' command-line client. It sends HTTP requests to the operator address of any host.
//
// Of the daemon packages it may import only daemon/settings. It must not import platform, endpoint or peer packages.
package command
