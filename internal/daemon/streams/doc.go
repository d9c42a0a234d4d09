// Package streams drives answer streams over engine attempts.
//
// It carries out the decisions of core/stream and core/quarantine and is their only caller besides
// tests and benches. It must not import endpoint, peer or ingress packages: engines, pipelines and
// peers come in through the interfaces declared here.
package streams
