// Package weightstore is the client of the weight store's published limits.
//
// Weights go from the store to the engines directly; this package reads only how fast they may go.
// It must not import daemon, ingress or standin packages.
package weightstore
