// Package benchrecovery measures the time from a fault to the next token at the caller.
//
// The streams run on in-process engines in real time; the figures hold no network and no decoding.
package benchrecovery
