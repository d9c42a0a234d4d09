// Package engine is a stand-in for a model engine that holds a range of layers.
//
// It is for tests and test programs only. The text of a token depends only on model, version, prompt and
// position, so any engine continues a stream with the same text. Faults are injected by methods or over
// HTTP under /standin/. The package must not import daemon, ingress or platform packages.
package engine
