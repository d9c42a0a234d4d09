// Package claim decides which copy of a non-repeatable call may be dispatched.
//
// It owns the shard and segment objects, their encoding and the index of sealed keys. Any host may
// write any shard. A claim is granted only by a conditional write against the shard version on which
// the key was looked up. The package must not import I/O packages.
package claim
