package lease

import (
	"time"

	"waxwingplank/internal/core/storage"
)

// Event is an input of the System.
type Event interface{ event() }

// HoldRequested asks to acquire a lease and to keep renewing it.
type HoldRequested struct{ name string }

// NewHoldRequested returns the event.
func NewHoldRequested(name string) HoldRequested { return HoldRequested{name: name} }

// ReleaseRequested asks to release a lease. All orders of the holder must have ended before,
// because the next holder acquires a released lease without waiting.
type ReleaseRequested struct{ name string }

// NewReleaseRequested returns the event.
func NewReleaseRequested(name string) ReleaseRequested { return ReleaseRequested{name: name} }

// CallResult describes how a call to the object API ended.
type CallResult struct {
	Status  storage.Status
	Version int64
	Value   []byte
}

// ObjectRead reports the result of a ReadLease decision.
type ObjectRead struct {
	name string
	call CallResult
}

// NewObjectRead returns the event.
func NewObjectRead(name string, call CallResult) ObjectRead {
	return ObjectRead{name: name, call: call}
}

// ObjectWritten reports the result of a WriteLease decision.
type ObjectWritten struct {
	name string
	call CallResult
}

// NewObjectWritten returns the event.
func NewObjectWritten(name string, call CallResult) ObjectWritten {
	return ObjectWritten{name: name, call: call}
}

func (HoldRequested) event()    {}
func (ReleaseRequested) event() {}
func (ObjectRead) event()       {}
func (ObjectWritten) event()    {}

// Decision is an output of the System that the daemon carries out.
type Decision interface{ decision() }

// ReadLease orders a read of the lease object. Its result is reported as ObjectRead.
type ReadLease struct{ name string }

// Name returns the name of the lease.
func (d ReadLease) Name() string { return d.name }

// WriteLease orders a conditional write of the lease object. Its result is reported as ObjectWritten.
type WriteLease struct {
	name     string
	expected int64
	value    []byte
}

// Name returns the name of the lease.
func (d WriteLease) Name() string { return d.name }

// Expected returns the version that the write replaces; zero means that the object must not exist.
func (d WriteLease) Expected() int64 { return d.expected }

// Value returns the new content.
func (d WriteLease) Value() []byte { return d.value }

// Changed reports that the state or the end time of a lease changed.
type Changed struct {
	name  string
	state State
	fence int64
	until time.Time
}

// Name returns the name of the lease.
func (d Changed) Name() string { return d.name }

// State returns the state of the lease.
func (d Changed) State() State { return d.state }

// Fence returns the fencing number of a held lease, or 0 in any other state.
func (d Changed) Fence() int64 { return d.fence }

// Until returns the time on this host's clock at which the holder must stop acting.
func (d Changed) Until() time.Time { return d.until }

func (ReadLease) decision()  {}
func (WriteLease) decision() {}
func (Changed) decision()    {}
