// Package documents reads service documents from the object API and writes them to it.
//
// It must not import ingress packages or other packages of the daemon.
package documents
