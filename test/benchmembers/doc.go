// Package benchmembers drives the membership core in simulated time and prints its figures.
package benchmembers
