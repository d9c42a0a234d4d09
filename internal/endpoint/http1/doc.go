// Package http1 is an HTTP/1.1 client that sends each request once, on a pooled or new connection, and reports
// whether any byte of a failed request may have been sent.
//
// It alone decides whether what was received is a response (CheckHead), since net/http accepts more than HTTP/1.1 allows.
//
// It holds no policy: it never retries or follows redirects. It must not import daemon, ingress or
// standin packages.
package http1
