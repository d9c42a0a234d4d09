// Package http1 is an HTTP/1.1 client that sends each request once, on a pooled or new connection, and reports
// whether any byte of a failed request may have been sent.
//
// It holds no policy: it never retries or follows redirects. It must not import daemon, ingress or
// standin packages.
package http1
