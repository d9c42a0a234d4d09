// Package placement decides which endpoint holds which layers of a service's model, and what to order of
// the endpoints so that they come to hold them.
//
// It owns the plan of one service and the life cycle of its endpoints. It must not import I/O packages.
package placement
