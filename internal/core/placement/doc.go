// Package placement decides which endpoint holds which layers of a service's model, and which load and
// unload orders bring the endpoints to that plan.
//
// It owns the plan of one service and the lifecycle of its endpoints. It must not import I/O packages.
package placement
