// Command standin runs one stand-in: for the platform, a model engine or a plain service.
//
// It prints one JSON line with its address once it is listening, and stops on SIGTERM or an interrupt.
package main
