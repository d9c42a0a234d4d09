// Package share divides the slots of a pipeline between the hosts that request them. It also records the
// grants that the owner of a pipeline has issued.
//
// It must not import routing, admission or any I/O package.
package share
