// Package authority is a certificate authority that issues TLS certificates for tests.
package authority
