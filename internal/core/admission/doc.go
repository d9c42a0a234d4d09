// Package admission implements the bounded waiting queue of one service: priority classes, fair queueing
// between workspaces, deadlines and early refusal.
//
// It must not import routing, share or any I/O package.
package admission
