// Package quarantine detects requests, and parts of prompts, that crash the endpoints that run them.
//
// It owns crash marks, their expiry and the verdict on a request.
// It may import only the standard library and other core packages.
package quarantine
