// Package roster tracks the hosts of a deployment: which hosts to send reports to, which are alive, which may take
// a duty, and what load their streams put on the workers.
//
// In a small deployment all hosts report to each other. In a larger one each failure domain has two hubs, its
// strongest hosts. The hosts of a domain report to its hubs, the first hubs of all domains report to each other, and
// each host receives from the first hub of its domain what has changed. The number and the size of a host's messages
// thus depend on the number of domains and of hosts in a domain, not on the number of all hosts.
//
// The package must not import I/O packages or the daemon.
package roster
