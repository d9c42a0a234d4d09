// Package streams runs response streams as a sequence of engine attempts.
//
// It executes the decisions of core/stream and core/quarantine and is their only caller besides
// tests and benchmarks. It must not import endpoint, peer or ingress packages: engines, pipelines and
// peers are passed in through the interfaces declared here.
package streams
