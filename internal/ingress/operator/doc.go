// Package operator serves the HTTP interface for operators: service documents, status, drain, the
// decisions about a request, and metrics.
//
// It parses and authorizes requests, enforces their limits and writes responses. All decisions are made
// behind the Backend interface. It must not import daemon, platform, endpoint or peer packages.
package operator
