// Package roster knows the hosts of a deployment: whom to tell what, which are up, which may take a duty, and
// what their streams put on the workers.
//
// Few hosts tell each other directly. Many tell a few hubs, the strongest of them, and hear from the first hub
// what the others told it. It must not import I/O packages or the daemon.
package roster
