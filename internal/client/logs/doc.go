// Package logs reads the logs of entry hosts and explains what happened to a request.
//
// It must not import daemon, platform, endpoint or peer packages.
package logs
