// Package authority issues certificates for tests.
package authority
