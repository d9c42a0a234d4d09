// Package benchprocess measures recovery times on a running system of separate processes.
//
// All processes run on one machine, so the figures hold no network between machines.
package benchprocess
