// Package hostpb contains the generated messages and stubs of the protocol between hosts.
//
// It must not import any other package of this module.
package hostpb
