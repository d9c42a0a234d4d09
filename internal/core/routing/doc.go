// Package routing chooses a pipeline or plain endpoint for each request. It uses the waiting queues of
// package admission and applies the slot grants that package share computes.
//
// It must not import any I/O package.
package routing
