// Package quarantine finds requests that crash the endpoints that run them.
//
// It owns crash marks, their expiry and the verdict on a request.
// It must not import anything but the standard library and other core packages.
package quarantine
