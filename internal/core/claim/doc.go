// Package claim decides which copy of a call that may not be repeated is allowed to run.
//
// It owns the shard and segment objects, their encoding and the index of sealed keys. Any host may
// write any shard; a claim is granted only by a conditional write on the version it was checked
// against. It must not import I/O packages.
package claim
