// Package routing owns the choice of a pipeline or plain endpoint for each request, on top of the
// queues of admission and the grants of share.
//
// It must not import any I/O package.
package routing
