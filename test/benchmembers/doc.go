// Package benchmembers simulates the membership core of many hosts in one process and measures it.
package benchmembers
