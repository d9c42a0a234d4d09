// Package documents writes and reads service documents on the object API.
//
// It must not import ingress packages or other packages of the daemon.
package documents
