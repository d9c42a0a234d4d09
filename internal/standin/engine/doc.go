// Package engine is a stand-in for a model engine that holds a range of layers.
//
// It is for tests and test programs only. Token text depends only on model, version, prompt and
// position, so that any engines continue a stream alike. Faults are set by methods or under /standin/.
// It must not import daemon, ingress or platform packages.
package engine
