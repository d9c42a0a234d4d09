// Package follow keeps up with the objects of one kind in the store: it lists them, watches for changes and
// lists again where the history is gone.
//
// It must not import other packages of the daemon.
package follow
