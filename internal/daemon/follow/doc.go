// Package follow keeps a current copy of the objects of one kind in the store. It lists them, watches for changes,
// and lists them again if the store no longer has the history.
//
// It must not import other packages of the daemon.
package follow
