// Command standin runs one stand-in for the platform, a model engine or a plain service.
//
// It prints one JSON line with its address once it serves, and stops on SIGTERM or interrupt.
package main
