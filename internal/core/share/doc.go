// Package share divides the slots of a pipeline between the hosts that want them, and keeps the
// grants that an owner has given out.
//
// It must not import routing, admission or any I/O package.
package share
