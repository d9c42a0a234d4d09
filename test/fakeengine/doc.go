// Package fakeengine holds in-process engines and pipelines for tests and benches of daemon/streams.
//
// It speaks no protocol; internal/standin/engine is the stand-in that does.
package fakeengine
