package claim

import (
	"slices"
	"time"

	"waxwingplank/internal/core/storage"
)

// oldestKept returns the issue time before which entries are dropped.
func (s *System) oldestKept() uint32 {
	return uint32(max(0, s.now.Add(-s.cfg.Retention-s.cfg.Margin).Unix()))
}

func (s *System) kept(entries []entry) []entry {
	oldest := s.oldestKept()
	list := make([]entry, 0, len(entries)+s.cfg.MaxBatch/8)
	for _, e := range entries {
		if e.issued >= oldest {
			list = append(list, e)
		}
	}
	return list
}

// flush seals the inline entries if they are too large, otherwise writes the shard object.
func (s *System) flush(sh *shard) {
	kept := s.kept(sh.object.entries)
	if sh.sealed == nil && sizeOf(kept) > s.cfg.InlineBytes {
		s.seal(sh, kept)
		return
	}
	w := &write{expected: sh.version, token: s.tokens.Uint64(), sealed: sh.sealed, answers: map[Hash]pendingAnswer{}}
	w.object.segments = s.keptSegments(sh, w)
	if sh.sealed == nil {
		w.object.entries = kept
	}
	s.applyAnswers(sh, w)
	s.addBatch(sh, w)
	w.object.writes = append(slices.Clone(sh.object.writes), w.token)
	if n := len(w.object.writes); n > keptWrites {
		w.object.writes = w.object.writes[n-keptWrites:]
	}
	sh.writing = w
	sh.busy++
	sh.flushAt = s.now.Add(s.cfg.FlushInterval)
	s.emit(WriteShard{shard: sh.number, expected: sh.version, value: encodeObject(w.object)})
}

// seal creates a segment from the inline entries. It replaces the newest segments as long as they
// are not much larger than what is merged already, as a binary counter carries: an entry is written
// again about log2(SegmentBytes/InlineBytes) times, and the shard object lists few segments.
func (s *System) seal(sh *shard, kept []entry) {
	entries, size, replaces := slices.Clone(kept), sizeOf(kept), 0
	for _, ref := range slices.Backward(sh.object.segments) {
		content, ok := sh.open[ref.name(sh.number)]
		if n := int(ref.bytes); !ok || n+size > s.cfg.SegmentBytes || 2*n > 3*size {
			break
		}
		entries = merged(content, entries)
		size += int(ref.bytes)
		replaces++
	}
	ref, value := encodeSegment(sh.version, entries)
	sh.sealed = &sealing{ref: ref, entries: entries, replaces: replaces}
	sh.busy++
	s.emit(WriteSegment{shard: sh.number, name: ref.name(sh.number), value: value})
}

// keptSegments returns the references for the next version and notes which segments it drops.
func (s *System) keptSegments(sh *shard, w *write) []segment {
	oldest := s.oldestKept()
	var list []segment
	for i, ref := range sh.object.segments {
		replaced := w.sealed != nil && i >= len(sh.object.segments)-w.sealed.replaces
		if replaced || ref.newest < oldest {
			w.drops = append(w.drops, ref.name(sh.number))
			continue
		}
		list = append(list, ref)
	}
	if w.sealed != nil {
		list = append(list, w.sealed.ref)
	}
	return list
}

// maxAnswerBytes bounds the answers of one write: with the largest inline entries and batch it stays
// under half of the 1 MB that the object API takes, also after an outage.
const maxAnswerBytes = 256 << 10

func (s *System) applyAnswers(sh *shard, w *write) {
	oldest := s.oldestKept()
	position := make(map[Hash]int, len(w.object.entries))
	for i, e := range w.object.entries {
		position[e.hash] = i
	}
	// The order of the keys decides the bytes of the object, so it must not depend on the map.
	hashes := make([]Hash, 0, len(sh.answers))
	for h := range sh.answers {
		hashes = append(hashes, h)
	}
	slices.SortFunc(hashes, func(a, b Hash) int { return slices.Compare(a[:], b[:]) })
	total := 0
	for _, h := range hashes {
		a := sh.answers[h]
		if total += (entry{state: answered, answer: a.answer}).size(); total > maxAnswerBytes {
			break
		}
		w.answers[h] = a
		delete(sh.answers, h)
		if i, ok := position[h]; ok {
			if w.object.entries[i].state != refused {
				w.object.entries[i].state, w.object.entries[i].answer = answered, a.answer
			}
			continue
		}
		if a.issued >= oldest {
			// The entry is sealed; the inline one is found first and supersedes it.
			w.object.entries = append(w.object.entries, entry{hash: h, issued: a.issued, state: answered, answer: a.answer})
		}
	}
}

// addBatch moves waiting requests into the write, one a key; the others look the key up afterwards.
func (s *System) addBatch(sh *shard, w *write) {
	taken := map[Hash]bool{}
	var rest []*request
	for _, r := range sh.pending {
		if taken[r.key.hash] || len(w.batch) >= s.cfg.MaxBatch {
			rest = append(rest, r)
			continue
		}
		taken[r.key.hash] = true
		st := claimed
		if r.kind == refusalKind {
			st = refused
		}
		w.object.entries = append(w.object.entries, entry{hash: r.key.hash, token: r.token, issued: r.key.issued, state: st})
		w.batch = append(w.batch, r)
	}
	sh.pending = rest
}

func (s *System) shardRead(sh *shard, call CallConfig) {
	sh.busy--
	s.up(call.Status)
	if call.Status == storage.NotFound {
		call.Version, call.Value = 0, encodeObject(object{})
	}
	if call.Status != storage.OK && call.Status != storage.NotFound {
		s.goDown(sh)
		return
	}
	o, err := decodeObject(call.Value)
	if err != nil {
		// Nothing can be granted on an object that cannot be read.
		s.goDown(sh)
		return
	}
	sh.install(call.Version, o, s.cfg.SegmentBytes)
	for _, r := range sh.pending {
		s.settleLost(sh, r)
	}
}

// settleLost settles a request whose write answer was lost. A token that is absent settles nothing
// while the version is unchanged, since the write may still be on its way: the request is then
// written again, and the success of that write makes the lost one fail.
func (s *System) settleLost(sh *shard, r *request) {
	if !r.inDoubt() {
		return
	}
	if intersects(r.writes, sh.object.writes) {
		s.resolve(r, Result{status: r.success()})
		return
	}
	if sh.version > r.doubt {
		r.writes, r.doubt = nil, 0
	}
}

func (s *System) shardWritten(sh *shard, call CallConfig) {
	sh.busy--
	w := sh.writing
	sh.writing = nil
	s.up(call.Status)
	if call.Status == storage.OK {
		s.written(sh, w, call.Version)
		return
	}
	sh.known = false
	s.restoreAnswers(sh, w)
	lost := call.Status == storage.Unknown
	for _, r := range w.batch {
		if lost {
			r.writes = append(r.writes, w.token)
			r.doubt = max(r.doubt, w.expected)
		}
	}
	sh.pending = append(slices.Clone(w.batch), sh.pending...)
	if call.Status == storage.Unavailable || s.down {
		s.goDown(sh)
	}
}

func (s *System) written(sh *shard, w *write, version int64) {
	if w.sealed != nil {
		name := w.sealed.ref.name(sh.number)
		sh.indexes[name] = newIndex(w.sealed.entries)
		sh.open[name] = w.sealed.entries
	}
	sh.install(version, w.object, s.cfg.SegmentBytes)
	for _, name := range w.drops {
		s.emit(DeleteSegment{name: name})
	}
	for _, r := range w.batch {
		s.resolve(r, Result{status: r.success()})
	}
}

func (s *System) restoreAnswers(sh *shard, w *write) {
	for h, a := range w.answers {
		if _, newer := sh.answers[h]; !newer {
			sh.answers[h] = a
		}
	}
	if len(w.answers) > 0 {
		sh.answersFrom = s.now
	}
}

func (s *System) segmentRead(sh *shard, name string, call CallConfig) {
	sh.busy--
	s.up(call.Status)
	if call.Status == storage.NotFound {
		s.segmentMissing(sh)
		return
	}
	if call.Status != storage.OK {
		s.goDown(sh)
		return
	}
	entries, err := decodeSegment(call.Value)
	if err != nil {
		s.goDown(sh)
		return
	}
	if !sh.known {
		return
	}
	sh.indexes[name] = newIndex(entries)
	if slices.Contains(sh.openNames(s.cfg.SegmentBytes), name) {
		sh.open[name] = entries
	}
	if sh.wanted[name] {
		sh.pages[name] = entries
	}
}

// segmentMissing rereads the shard, because another host may have dropped or replaced the segment.
// If the same version still refers to it, claims were lost and nothing is granted.
func (s *System) segmentMissing(sh *shard) {
	if !sh.known {
		return
	}
	if sh.missingAt == sh.version {
		s.goDown(sh)
	}
	sh.missingAt = sh.version
	sh.known = false
}

func (s *System) segmentWritten(sh *shard, call CallConfig) {
	sh.busy--
	s.up(call.Status)
	switch call.Status {
	case storage.OK, storage.Conflict:
		// The name carries a digest, so a segment that exists already has the same content.
	case storage.Unavailable:
		sh.sealed = nil
		s.goDown(sh)
	case storage.Unknown, storage.NotFound:
		// The read of the shard finds out whether the platform is down.
		sh.sealed, sh.known = nil, false
	}
	sh.flushAt = time.Time{}
}
