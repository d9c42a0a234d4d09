package claim

import (
	"bytes"
	"slices"
	"time"
)

type kind string

const (
	claimKind   kind = "claim"
	refusalKind kind = "refusal"
)

// request is one copy that waits for a decision.
type request struct {
	id    uint64
	key   Key
	kind  kind
	token uint64
	// writes are the tokens of the lost writes that carried this request, and doubt is the highest
	// version one of them would have replaced. Both are empty once no such write can take effect.
	writes   []uint64
	doubt    int64
	resolved bool
}

func (r *request) inDoubt() bool { return len(r.writes) > 0 }

// index holds the sorted hashes of one sealed segment, 16 bytes a key.
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

// sealing is a segment that was created for the current version but is not yet referred to.
type sealing struct {
	ref     segment
	entries []entry
	// replaces is the number of newest segments whose entries it holds too.
	replaces int
}

// write is a conditional write in flight.
type write struct {
	expected int64
	token    uint64
	object   object
	batch    []*request
	answers  map[Hash]pendingAnswer
	drops    []string
	sealed   *sealing
}

// shard is what this host knows about one shard object.
type shard struct {
	number  int
	version int64
	known   bool
	object  object
	inline  map[Hash]int
	indexes map[string]index
	// open holds the content of the newest segments, which a later seal may merge.
	open map[string][]entry
	// pages are segments read to find the state of an entry; they are kept for one lookup only.
	pages       map[string][]entry
	wanted      map[string]bool
	pending     []*request
	answers     map[Hash]pendingAnswer
	answersFrom time.Time
	// busy counts calls in flight; the next step waits for all of them.
	busy      int
	sealed    *sealing
	writing   *write
	flushAt   time.Time
	usedAt    time.Time
	missingAt int64
}

func newShard(number int) *shard {
	return &shard{
		number:    number,
		indexes:   map[string]index{},
		open:      map[string][]entry{},
		pages:     map[string][]entry{},
		wanted:    map[string]bool{},
		answers:   map[Hash]pendingAnswer{},
		missingAt: -1,
	}
}

// install takes over the content of the shard object at a version.
func (sh *shard) install(version int64, o object, segmentLimit int) {
	sh.version, sh.object, sh.known, sh.sealed = version, o, true, nil
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
	for name := range sh.open {
		if !slices.Contains(sh.openNames(segmentLimit), name) {
			delete(sh.open, name)
		}
	}
	clear(sh.pages)
}

// openNames returns the newest segments that together are small enough to be merged into one.
func (sh *shard) openNames(segmentLimit int) []string {
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

// forget drops what can be read again, so that an unused shard costs no memory.
func (sh *shard) forget() {
	sh.known, sh.object, sh.inline, sh.sealed = false, object{}, nil, nil
	clear(sh.open)
	clear(sh.indexes)
	clear(sh.pages)
}

// missingSegments returns the segments whose index, or whose content where it may be merged, is not
// loaded.
func (sh *shard) missingSegments(segmentLimit int) []string {
	var names []string
	open := sh.openNames(segmentLimit)
	for _, ref := range sh.object.segments {
		name := ref.name(sh.number)
		_, indexed := sh.indexes[name]
		_, loaded := sh.open[name]
		if !indexed || !loaded && slices.Contains(open, name) {
			names = append(names, name)
		}
	}
	return names
}

// find looks a key up. If only the index knows it, the name of the segment to read is returned.
func (sh *shard) find(k Key) (e entry, segmentName string, found bool) {
	if i, ok := sh.inline[k.hash]; ok {
		return sh.object.entries[i], "", true
	}
	// The newest segment comes first, since an answer may supersede an older entry of the key.
	for _, ref := range slices.Backward(sh.object.segments) {
		if k.issued < ref.oldest || k.issued > ref.newest {
			continue
		}
		name := ref.name(sh.number)
		if !sh.indexes[name].contains(k.hash) {
			continue
		}
		content, loaded := sh.open[name]
		if !loaded {
			content = sh.pages[name]
		}
		if i := slices.IndexFunc(content, func(e entry) bool { return e.hash == k.hash }); i >= 0 {
			return content[i], "", true
		}
		return entry{}, name, true
	}
	return entry{}, "", false
}

// merged returns the entries of both lists with one entry a key, where those of newer win.
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
