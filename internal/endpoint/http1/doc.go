// Package http1 is an HTTP/1.1 client that sends each request once, on a connection of its choice, and says
// whether any byte of it may have been sent.
//
// It holds no policy: it never retries and follows no redirects. It must not import daemon, ingress or
// standin packages.
package http1
