// Package operator serves the HTTP interface for operators: service documents, status, drain, the
// decisions about a request, and metrics.
//
// It parses, bounds and authorizes requests and writes answers; every decision is made behind the
// Backend interface. It must not import daemon, platform, endpoint or peer packages.
package operator
