package claim

import "waxwingplank/internal/core/storage"

// Event is an input of the claim system.
type Event interface{ event() }

// Requested requests a claim.
type Requested struct {
	id  uint64
	key Key
}

// NewRequested returns the event; id identifies the copy in the decision that resolves it.
func NewRequested(id uint64, key Key) Requested { return Requested{id: id, key: key} }

// RefusalRequested requests a record that no copy of the key may run.
type RefusalRequested struct {
	id  uint64
	key Key
}

// NewRefusalRequested returns the event; id identifies the copy in the decision that resolves it.
func NewRefusalRequested(id uint64, key Key) RefusalRequested {
	return RefusalRequested{id: id, key: key}
}

// Withdrawn reports that the caller no longer waits for the decision.
type Withdrawn struct {
	id  uint64
	key Key
}

// NewWithdrawn returns the event.
func NewWithdrawn(id uint64, key Key) Withdrawn { return Withdrawn{id: id, key: key} }

// AnswerGiven carries the answer of a key whose claim was granted on this host.
type AnswerGiven struct {
	key    Key
	answer Answer
}

// NewAnswerGiven returns the event.
func NewAnswerGiven(key Key, answer Answer) AnswerGiven {
	return AnswerGiven{key: key, answer: answer}
}

// CallConfig describes the outcome of a call to the object API.
type CallConfig struct {
	Status  storage.Status
	Version int64
	Value   []byte
}

// ShardRead ends a ReadShard decision.
type ShardRead struct {
	shard int
	call  CallConfig
}

// NewShardRead returns the event.
func NewShardRead(shard int, call CallConfig) ShardRead { return ShardRead{shard: shard, call: call} }

// ShardWritten ends a WriteShard decision.
type ShardWritten struct {
	shard int
	call  CallConfig
}

// NewShardWritten returns the event.
func NewShardWritten(shard int, call CallConfig) ShardWritten {
	return ShardWritten{shard: shard, call: call}
}

// SegmentRead ends a ReadSegment decision.
type SegmentRead struct {
	shard int
	name  string
	call  CallConfig
}

// NewSegmentRead returns the event.
func NewSegmentRead(shard int, name string, call CallConfig) SegmentRead {
	return SegmentRead{shard: shard, name: name, call: call}
}

// SegmentWritten ends a WriteSegment decision.
type SegmentWritten struct {
	shard int
	call  CallConfig
}

// NewSegmentWritten returns the event.
func NewSegmentWritten(shard int, call CallConfig) SegmentWritten {
	return SegmentWritten{shard: shard, call: call}
}

// SegmentsListed carries the names of all segment objects, from which unreferenced ones are deleted.
type SegmentsListed struct{ names []string }

// NewSegmentsListed returns the event.
func NewSegmentsListed(names []string) SegmentsListed { return SegmentsListed{names: names} }

func (Requested) event()        {}
func (RefusalRequested) event() {}
func (Withdrawn) event()        {}
func (AnswerGiven) event()      {}
func (ShardRead) event()        {}
func (ShardWritten) event()     {}
func (SegmentRead) event()      {}
func (SegmentWritten) event()   {}
func (SegmentsListed) event()   {}
