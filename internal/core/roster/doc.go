// Package roster tracks the hosts of a deployment: which hosts to send reports to, which are alive, which may take
// a duty, and what load their streams put on the workers.
//
// In a small deployment all hosts report to each other. In a large one all hosts report to a few hubs, the
// strongest hosts, and receive the reports of the others from the first hub. The package must not import I/O
// packages or the daemon.
package roster
