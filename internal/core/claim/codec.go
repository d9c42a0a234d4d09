package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

type state byte

const (
	claimed  state = 1
	refused  state = 2
	answered state = 3
)

// entry is one key of a shard. The token identifies the copy that wrote the entry, so that a copy
// whose write response was lost recognizes its own claim.
type entry struct {
	hash   Hash
	token  uint64
	issued uint32
	state  state
	answer Answer
}

// segment is a reference to a sealed segment. It can hold only keys issued from oldest to newest.
type segment struct {
	version int64
	digest  uint64
	oldest  uint32
	newest  uint32
	bytes   uint32
}

// shardObject is the decoded content of a shard object.
type shardObject struct {
	writeTokens []uint64
	segments    []segment
	entries     []entry
}

const (
	formatVersion     = 1
	entryBytes        = 29 // hash 16, token 8, issue time 4, state 1
	segmentBytes      = 28 // version 8, digest 8, oldest 4, newest 4, size 4
	completeFlag      = 1
	answerHeaderBytes = 4
)

var errFormat = eris.New("claim: malformed object")

func (s segment) name(shard int) string {
	return fmt.Sprintf("%d-%d-%016x", shard, s.version, s.digest)
}

func (e entry) size() int {
	if e.state != answered {
		return entryBytes
	}
	return entryBytes + answerHeaderBytes + 2 + len(e.answer.contentType) + len(e.answer.body)
}

func sizeOf(entries []entry) int {
	n := 0
	for _, e := range entries {
		n += e.size()
	}
	return n
}

func appendEntry(b []byte, e entry) []byte {
	b = append(b, e.hash[:]...)
	b = binary.BigEndian.AppendUint64(b, e.token)
	b = binary.BigEndian.AppendUint32(b, e.issued)
	b = append(b, byte(e.state))
	if e.state != answered {
		return b
	}
	flags := byte(0)
	if e.answer.complete {
		flags = completeFlag
	}
	b = binary.BigEndian.AppendUint16(b, e.answer.status)
	b = append(b, flags, byte(len(e.answer.contentType)))
	b = append(b, e.answer.contentType...)
	b = binary.BigEndian.AppendUint16(b, uint16(len(e.answer.body)))
	return append(b, e.answer.body...)
}

func encodeObject(o shardObject) []byte {
	b := []byte{formatVersion}
	b = binary.AppendUvarint(b, uint64(len(o.writeTokens)))
	for _, w := range o.writeTokens {
		b = binary.BigEndian.AppendUint64(b, w)
	}
	b = binary.AppendUvarint(b, uint64(len(o.segments)))
	for _, s := range o.segments {
		b = binary.BigEndian.AppendUint64(b, uint64(s.version))
		b = binary.BigEndian.AppendUint64(b, s.digest)
		b = binary.BigEndian.AppendUint32(b, s.oldest)
		b = binary.BigEndian.AppendUint32(b, s.newest)
		b = binary.BigEndian.AppendUint32(b, s.bytes)
	}
	for _, e := range o.entries {
		b = appendEntry(b, e)
	}
	return b
}

// encodeSegment sorts the entries and returns the reference to the segment and its encoding. Sorting
// makes every host that seals the same entries write the same bytes under the same name, which
// contains their digest.
func encodeSegment(version int64, entries []entry) (segment, []byte) {
	slices.SortFunc(entries, func(a, b entry) int { return bytes.Compare(a.hash[:], b.hash[:]) })
	seg := segment{version: version, oldest: entries[0].issued, newest: entries[0].issued}
	b := []byte{formatVersion}
	for _, e := range entries {
		seg.oldest = min(seg.oldest, e.issued)
		seg.newest = max(seg.newest, e.issued)
		b = appendEntry(b, e)
	}
	sum := sha256.Sum256(b)
	seg.digest = binary.BigEndian.Uint64(sum[:])
	seg.bytes = uint32(len(b))
	return seg, b
}

// reader decodes fields from a value. After the first short read every result is zero.
type reader struct {
	remaining []byte
	failed    bool
}

func (r *reader) next(n int) []byte {
	if r.failed || n > len(r.remaining) {
		r.failed = true
		return make([]byte, n)
	}
	part := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return part
}

func (r *reader) count(size int) int {
	v, n := binary.Uvarint(r.remaining)
	if r.failed || n <= 0 || v > uint64(len(r.remaining)/size) {
		r.failed = true
		return 0
	}
	r.remaining = r.remaining[n:]
	return int(v)
}

func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }
func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.next(2)) }
func (r *reader) u8() byte    { return r.next(1)[0] }

func (r *reader) entry() entry {
	e := entry{hash: Hash(r.next(16)), token: r.u64(), issued: r.u32(), state: state(r.u8())}
	if e.state < claimed || e.state > answered {
		r.failed = true
	}
	if e.state != answered {
		return e
	}
	e.answer.status = r.u16()
	e.answer.complete = r.u8()&completeFlag != 0
	e.answer.contentType = string(r.next(int(r.u8())))
	e.answer.body = bytes.Clone(r.next(int(r.u16())))
	return e
}

func (r *reader) entries() []entry {
	var list []entry
	for !r.failed && len(r.remaining) > 0 {
		list = append(list, r.entry())
	}
	return list
}

func decodeObject(b []byte) (shardObject, error) {
	r := &reader{remaining: b}
	if r.u8() != formatVersion {
		return shardObject{}, errFormat
	}
	var o shardObject
	for range r.count(8) {
		o.writeTokens = append(o.writeTokens, r.u64())
	}
	for range r.count(segmentBytes) {
		o.segments = append(o.segments, segment{
			version: int64(r.u64()),
			digest:  r.u64(),
			oldest:  r.u32(),
			newest:  r.u32(),
			bytes:   r.u32(),
		})
	}
	o.entries = r.entries()
	if r.failed {
		return shardObject{}, errFormat
	}
	return o, nil
}

func decodeSegment(b []byte) ([]entry, error) {
	r := &reader{remaining: b}
	if r.u8() != formatVersion {
		return nil, errFormat
	}
	list := r.entries()
	if r.failed {
		return nil, errFormat
	}
	return list, nil
}
