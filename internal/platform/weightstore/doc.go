// Package weightstore is the client of the weight store's published limits.
//
// Engines load weights directly from the store. This package reads only how fast they may load them.
// It must not import daemon, ingress or standin packages.
package weightstore
