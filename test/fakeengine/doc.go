// Package fakeengine provides in-process engines and pipelines for tests and benchmarks of daemon/streams.
//
// It implements no protocol. For a stand-in that speaks the engine protocol, see internal/standin/engine.
package fakeengine
