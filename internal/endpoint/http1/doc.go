// Package http1 is an HTTP/1.1 client that sends each request once, on a pooled or new connection, and reports
// whether any byte of a failed request may have been sent. Transport is for clients of net/http.
//
// It alone decides whether what was received is a response (CheckHead), since net/http accepts more than HTTP/1.1 allows, and whether a
// response is whole (IncompleteError), since a reader of a connection does not see the errors that its sender has got.
//
// It holds no policy: it never follows redirects, and only DoRepeatable sends a request again. It must not import daemon, ingress or
// standin packages.
package http1
