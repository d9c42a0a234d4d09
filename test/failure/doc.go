// Package failure tests a running system of separate processes under injected failures.
//
// Each script under testdata describes one failure, and matrix.table lists combinations of request step and failure.
// The checks compare the responses that callers received with the executions that the stand-ins recorded.
package failure
