package claim

import (
	"bytes"
	"slices"
	"time"
)

type requestKind string

const (
	claimKind   requestKind = "claim"
	refusalKind requestKind = "refusal"
)

// request is the request of one copy that waits for a decision.
type request struct {
	id    uint64
	key   Key
	kind  requestKind
	token uint64
	// lostWrites holds the tokens of the writes of this request whose response was lost.
	// lostWriteVersion is the highest version that one of them would have replaced. Both are empty
	// once none of these writes can still take effect.
	lostWrites       []uint64
	lostWriteVersion int64
	resolved         bool
}

func (r *request) inDoubt() bool { return len(r.lostWrites) > 0 }

// index holds the sorted hashes of one sealed segment, 16 bytes per key.
type index []Hash

func newIndex(entries []entry) index {
	ix := make(index, len(entries))
	for i, e := range entries {
		ix[i] = e.hash
	}
	return ix
}

func (ix index) contains(h Hash) bool {
	_, found := slices.BinarySearchFunc(ix, h, func(a, b Hash) int { return bytes.Compare(a[:], b[:]) })
	return found
}

type pendingAnswer struct {
	issued uint32
	answer Answer
}

// pendingSegment is a segment created for the current version that the shard object does not refer to yet.
type pendingSegment struct {
	ref     segment
	entries []entry
	// replaces is the number of newest segments that were merged into this one.
	replaces int
}

// write is a conditional write in flight.
type write struct {
	expected        int64
	token           uint64
	object          shardObject
	batch           []*request
	answers         map[Hash]pendingAnswer
	droppedSegments []string
	newSegment      *pendingSegment
}

// shard is the state of one shard object on this host.
type shard struct {
	number  int
	version int64
	loaded  bool
	object  shardObject
	inline  map[Hash]int
	indexes map[string]index
	// mergeable holds the entries of the newest segments, which a later seal may merge.
	mergeable map[string][]entry
	// lookupSegments holds the entries of segments read to find the state of a key. They are kept for
	// one lookup only. lookupNames are the segments that the current lookup reads.
	lookupSegments map[string][]entry
	lookupNames    map[string]bool
	pending        []*request
	answers        map[Hash]pendingAnswer
	answersSince   time.Time
	// inFlight counts the calls in flight; the next step waits until all have ended.
	inFlight       int
	newSegment     *pendingSegment
	writing        *write
	nextFlushAt    time.Time
	lastUsedAt     time.Time
	missingVersion int64
}

func newShard(number int) *shard {
	return &shard{
		number:         number,
		indexes:        map[string]index{},
		mergeable:      map[string][]entry{},
		lookupSegments: map[string][]entry{},
		lookupNames:    map[string]bool{},
		answers:        map[Hash]pendingAnswer{},
		missingVersion: -1,
	}
}

// install replaces the cached shard object by the given version and drops the indexes and entries of
// segments that it no longer needs.
func (sh *shard) install(version int64, o shardObject, segmentLimit int) {
	sh.version, sh.object, sh.loaded, sh.newSegment = version, o, true, nil
	sh.inline = make(map[Hash]int, len(o.entries))
	for i, e := range o.entries {
		sh.inline[e.hash] = i
	}
	live := make(map[string]bool, len(o.segments))
	for _, ref := range o.segments {
		live[ref.name(sh.number)] = true
	}
	for name := range sh.indexes {
		if !live[name] {
			delete(sh.indexes, name)
		}
	}
	for name := range sh.mergeable {
		if !slices.Contains(sh.mergeableNames(segmentLimit), name) {
			delete(sh.mergeable, name)
		}
	}
	clear(sh.lookupSegments)
}

// mergeableNames returns the newest segments whose total size does not exceed segmentLimit bytes.
func (sh *shard) mergeableNames(segmentLimit int) []string {
	var names []string
	total := 0
	for _, ref := range slices.Backward(sh.object.segments) {
		if total += int(ref.bytes); total > segmentLimit {
			break
		}
		names = append(names, ref.name(sh.number))
	}
	return names
}

// unload drops all state that can be read again, so that an unused shard uses no memory.
func (sh *shard) unload() {
	sh.loaded, sh.object, sh.inline, sh.newSegment = false, shardObject{}, nil, nil
	clear(sh.mergeable)
	clear(sh.indexes)
	clear(sh.lookupSegments)
}

// missingSegments returns the segments to read: those without a loaded index, and mergeable ones
// without loaded entries.
func (sh *shard) missingSegments(segmentLimit int) []string {
	var names []string
	mergeable := sh.mergeableNames(segmentLimit)
	for _, ref := range sh.object.segments {
		name := ref.name(sh.number)
		_, indexed := sh.indexes[name]
		_, loaded := sh.mergeable[name]
		if !indexed || !loaded && slices.Contains(mergeable, name) {
			names = append(names, name)
		}
	}
	return names
}

// find looks a key up. If only the index of a segment contains the key, find returns the name of that
// segment, which must be read to get the entry.
func (sh *shard) find(k Key) (e entry, segmentName string, found bool) {
	if i, ok := sh.inline[k.hash]; ok {
		return sh.object.entries[i], "", true
	}
	// Newest segment first, because an answer may supersede an older entry of the key.
	for _, ref := range slices.Backward(sh.object.segments) {
		if k.issued < ref.oldest || k.issued > ref.newest {
			continue
		}
		name := ref.name(sh.number)
		if !sh.indexes[name].contains(k.hash) {
			continue
		}
		content, loaded := sh.mergeable[name]
		if !loaded {
			content = sh.lookupSegments[name]
		}
		if i := slices.IndexFunc(content, func(e entry) bool { return e.hash == k.hash }); i >= 0 {
			return content[i], "", true
		}
		return entry{}, name, true
	}
	return entry{}, "", false
}

// merged returns the entries of both lists with one entry per key. Entries of newer take precedence.
func merged(older, newer []entry) []entry {
	inNewer := make(map[Hash]bool, len(newer))
	for _, e := range newer {
		inNewer[e.hash] = true
	}
	list := slices.Clone(newer)
	for _, e := range older {
		if !inNewer[e.hash] {
			list = append(list, e)
		}
	}
	return list
}

func intersects(a, b []uint64) bool {
	return slices.ContainsFunc(a, func(v uint64) bool { return slices.Contains(b, v) })
}
