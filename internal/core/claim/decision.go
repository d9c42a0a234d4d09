package claim

// Decision is an action that the daemon carries out for the claim system.
type Decision interface{ decision() }

// ReadShard requests a read of the shard object; it is answered by ShardRead.
type ReadShard struct{ shard int }

// Shard returns the number of the shard.
func (d ReadShard) Shard() int { return d.shard }

// WriteShard requests a conditional write of the shard object; it is answered by ShardWritten.
type WriteShard struct {
	shard    int
	expected int64
	value    []byte
}

// Shard returns the number of the shard.
func (d WriteShard) Shard() int { return d.shard }

// Expected returns the version to replace; zero means that the object must not exist.
func (d WriteShard) Expected() int64 { return d.expected }

// Value returns the new content.
func (d WriteShard) Value() []byte { return d.value }

// ReadSegment requests a read of a segment object; it is answered by SegmentRead.
type ReadSegment struct {
	shard int
	name  string
}

// Shard returns the number of the shard.
func (d ReadSegment) Shard() int { return d.shard }

// Name returns the name of the segment.
func (d ReadSegment) Name() string { return d.name }

// WriteSegment requests the creation of a segment object; it is answered by SegmentWritten.
type WriteSegment struct {
	shard int
	name  string
	value []byte
}

// Shard returns the number of the shard.
func (d WriteSegment) Shard() int { return d.shard }

// Name returns the name of the segment.
func (d WriteSegment) Name() string { return d.name }

// Value returns the content.
func (d WriteSegment) Value() []byte { return d.value }

// DeleteSegment requests the deletion of a segment that no shard object refers to; no event answers it.
type DeleteSegment struct{ name string }

// Name returns the name of the segment.
func (d DeleteSegment) Name() string { return d.name }

// Resolve ends a request with a result.
type Resolve struct {
	id     uint64
	result Result
}

// ID returns the id of the copy that sent the request.
func (d Resolve) ID() uint64 { return d.id }

// Result returns the result of the request.
func (d Resolve) Result() Result { return d.result }

func (ReadShard) decision()     {}
func (WriteShard) decision()    {}
func (ReadSegment) decision()   {}
func (WriteSegment) decision()  {}
func (DeleteSegment) decision() {}
func (Resolve) decision()       {}
