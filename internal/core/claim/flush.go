package claim

import (
	"slices"
	"time"

	"waxwingplank/internal/core/storage"
)

// retentionCutoff returns the issue time, in Unix seconds, before which entries are dropped.
func (s *System) retentionCutoff() uint32 {
	return uint32(max(0, s.now.Add(-s.cfg.Retention-s.cfg.RetentionMargin).Unix())) //nolint:forbidigo // keys carry the time of day
}

func (s *System) unexpired(entries []entry) []entry {
	oldest := s.retentionCutoff()
	list := make([]entry, 0, len(entries)+s.cfg.MaxBatch/8)
	for _, e := range entries {
		if e.issued >= oldest {
			list = append(list, e)
		}
	}
	return list
}

// flush seals the inline entries into a segment if they exceed InlineBytes; otherwise it writes the
// shard object.
func (s *System) flush(sh *shard) {
	kept := s.unexpired(sh.object.entries)
	if sh.newSegment == nil && sizeOf(kept) > s.cfg.InlineBytes {
		s.seal(sh, kept)
		return
	}
	w := &write{expected: sh.version, token: s.tokens.Uint64(), newSegment: sh.newSegment, answers: map[Hash]pendingAnswer{}}
	w.object.segments = s.nextSegments(sh, w)
	if sh.newSegment == nil {
		w.object.entries = kept
	}
	s.applyAnswers(sh, w)
	s.addBatch(sh, w)
	w.object.writeTokens = append(slices.Clone(sh.object.writeTokens), w.token)
	if n := len(w.object.writeTokens); n > maxWriteTokens {
		w.object.writeTokens = w.object.writeTokens[n-maxWriteTokens:]
	}
	sh.writing = w
	sh.inFlight++
	sh.nextFlushAt = s.now.Add(s.cfg.FlushInterval)
	s.emit(WriteShard{shard: sh.number, expected: sh.version, value: encodeObject(w.object)})
}

// seal creates a segment from the inline entries and merges the newest segments into it. Merging
// stops at a segment that is more than 1.5 times as large as the entries merged so far, or that
// would exceed SegmentBytes. Segment sizes grow as in a log-structured merge: an entry is rewritten
// about log2(SegmentBytes/InlineBytes) times, and the shard object lists few segments.
func (s *System) seal(sh *shard, kept []entry) {
	entries, size, replaces := slices.Clone(kept), sizeOf(kept), 0
	for _, ref := range slices.Backward(sh.object.segments) {
		content, ok := sh.mergeable[ref.name(sh.number)]
		if n := int(ref.bytes); !ok || n+size > s.cfg.SegmentBytes || 2*n > 3*size {
			break
		}
		entries = merged(content, entries)
		size += int(ref.bytes)
		replaces++
	}
	ref, value := encodeSegment(sh.version, entries)
	sh.newSegment = &pendingSegment{ref: ref, entries: entries, replaces: replaces}
	sh.inFlight++
	s.emit(WriteSegment{shard: sh.number, name: ref.name(sh.number), value: value})
}

// nextSegments returns the segment references of the next version and records the dropped ones in w.
func (s *System) nextSegments(sh *shard, w *write) []segment {
	oldest := s.retentionCutoff()
	var list []segment
	for i, ref := range sh.object.segments {
		replaced := w.newSegment != nil && i >= len(sh.object.segments)-w.newSegment.replaces
		if replaced || ref.newest < oldest {
			w.droppedSegments = append(w.droppedSegments, ref.name(sh.number))
			continue
		}
		list = append(list, ref)
	}
	if w.newSegment != nil {
		list = append(list, w.newSegment.ref)
	}
	return list
}

// maxAnswerBytesPerWrite bounds the answers of one write, since many may be pending after an outage.
// With the largest inline entries and batch, a write stays under half of the 1 MB that the object
// API accepts.
const maxAnswerBytesPerWrite = 256 << 10

func (s *System) applyAnswers(sh *shard, w *write) {
	oldest := s.retentionCutoff()
	position := make(map[Hash]int, len(w.object.entries))
	for i, e := range w.object.entries {
		position[e.hash] = i
	}
	// Sorted, because the encoded object must not depend on the iteration order of the map.
	hashes := make([]Hash, 0, len(sh.answers))
	for h := range sh.answers {
		hashes = append(hashes, h)
	}
	slices.SortFunc(hashes, func(a, b Hash) int { return slices.Compare(a[:], b[:]) })
	total := 0
	for _, h := range hashes {
		a := sh.answers[h]
		if total += (entry{state: answered, answer: a.answer}).size(); total > maxAnswerBytesPerWrite {
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
			// The claim's entry is sealed. A lookup finds the inline entry first, so it supersedes the sealed one.
			w.object.entries = append(w.object.entries, entry{hash: h, issued: a.issued, state: answered, answer: a.answer})
		}
	}
}

// addBatch moves pending requests into the write, one per key. Further requests for a key stay
// pending and look the key up after the write.
func (s *System) addBatch(sh *shard, w *write) {
	taken := map[Hash]bool{}
	var remaining []*request
	for _, r := range sh.pending {
		if taken[r.key.hash] || len(w.batch) >= s.cfg.MaxBatch {
			remaining = append(remaining, r)
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
	sh.pending = remaining
}

func (s *System) shardRead(sh *shard, call CallConfig) {
	sh.inFlight--
	s.markUp(call.Status)
	if call.Status == storage.NotFound {
		call.Version, call.Value = 0, encodeObject(shardObject{})
	}
	if call.Status != storage.OK && call.Status != storage.NotFound {
		s.markDown(sh)
		return
	}
	o, err := decodeObject(call.Value)
	if err != nil {
		// No claim can be granted on an object that cannot be decoded.
		s.markDown(sh)
		return
	}
	sh.install(call.Version, o, s.cfg.SegmentBytes)
	for _, r := range sh.pending {
		s.settleLost(sh, r)
	}
}

// settleLost decides a request whose write response was lost. A write token in the shard object shows
// that the write took effect. An absent token decides nothing while the version is unchanged, because
// the write may still be in flight. The request is then written again; if that write succeeds, the
// lost one fails on its version.
func (s *System) settleLost(sh *shard, r *request) {
	if !r.inDoubt() {
		return
	}
	if intersects(r.lostWrites, sh.object.writeTokens) {
		s.resolve(r, Result{status: r.successStatus()})
		return
	}
	if sh.version > r.lostWriteVersion {
		r.lostWrites, r.lostWriteVersion = nil, 0
	}
}

func (s *System) shardWritten(sh *shard, call CallConfig) {
	sh.inFlight--
	w := sh.writing
	sh.writing = nil
	s.markUp(call.Status)
	if call.Status == storage.OK {
		s.written(sh, w, call.Version)
		return
	}
	sh.loaded = false
	s.restoreAnswers(sh, w)
	lost := call.Status == storage.Unknown
	for _, r := range w.batch {
		if lost {
			r.lostWrites = append(r.lostWrites, w.token)
			r.lostWriteVersion = max(r.lostWriteVersion, w.expected)
		}
	}
	sh.pending = append(slices.Clone(w.batch), sh.pending...)
	if call.Status == storage.Unavailable || s.down {
		s.markDown(sh)
	}
}

func (s *System) written(sh *shard, w *write, version int64) {
	if w.newSegment != nil {
		name := w.newSegment.ref.name(sh.number)
		sh.indexes[name] = newIndex(w.newSegment.entries)
		sh.mergeable[name] = w.newSegment.entries
	}
	sh.install(version, w.object, s.cfg.SegmentBytes)
	for _, name := range w.droppedSegments {
		s.emit(DeleteSegment{name: name})
	}
	for _, r := range w.batch {
		s.resolve(r, Result{status: r.successStatus()})
	}
}

func (s *System) restoreAnswers(sh *shard, w *write) {
	for h, a := range w.answers {
		if _, newer := sh.answers[h]; !newer {
			sh.answers[h] = a
		}
	}
	if len(w.answers) > 0 {
		sh.answersSince = s.now
	}
}

func (s *System) segmentRead(sh *shard, name string, call CallConfig) {
	sh.inFlight--
	s.markUp(call.Status)
	if call.Status == storage.NotFound {
		s.segmentMissing(sh)
		return
	}
	if call.Status != storage.OK {
		s.markDown(sh)
		return
	}
	entries, err := decodeSegment(call.Value)
	if err != nil {
		s.markDown(sh)
		return
	}
	if !sh.loaded {
		return
	}
	sh.indexes[name] = newIndex(entries)
	if slices.Contains(sh.mergeableNames(s.cfg.SegmentBytes), name) {
		sh.mergeable[name] = entries
	}
	if sh.lookupNames[name] {
		sh.lookupSegments[name] = entries
	}
}

// segmentMissing schedules another read of the shard, because another host may have dropped or
// replaced the segment. If the same version still refers to the segment, claims were lost and none is
// granted.
func (s *System) segmentMissing(sh *shard) {
	if !sh.loaded {
		return
	}
	if sh.missingVersion == sh.version {
		s.markDown(sh)
	}
	sh.missingVersion = sh.version
	sh.loaded = false
}

func (s *System) segmentWritten(sh *shard, call CallConfig) {
	sh.inFlight--
	s.markUp(call.Status)
	switch call.Status {
	case storage.OK, storage.Conflict:
		// The name contains a digest, so an existing segment has the same content.
	case storage.Unavailable:
		sh.newSegment = nil
		s.markDown(sh)
	case storage.Unknown, storage.NotFound:
		// The next read of the shard shows whether the platform is down.
		sh.newSegment, sh.loaded = nil, false
	}
	sh.nextFlushAt = time.Time{}
}
