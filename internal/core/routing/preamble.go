package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPreambles bounds the memory for prefix knowledge of one service: 4,096 × about 100 bytes.
	maxPreambles = 4096
	// maxHolders bounds the pipelines remembered for one preamble; more would gain nothing, since the
	// choice looks at two of them.
	maxHolders = 4
	// maxHomes is the number of pipelines that a preamble belongs to. A second one takes the load of a
	// popular preamble; more would need that much more cache memory for every preamble.
	maxHomes = 2
)

// holder is a pipeline that held a preamble, with the number of gaps in its cache events until then.
type holder struct {
	target *target
	gaps   int
}

// current reports whether no cache event was lost since; an eviction may be among the lost ones.
func (h holder) current() bool { return h.gaps == h.target.cacheGaps }

// preamble remembers which pipelines hold the KV cache of a shared preamble.
type preamble struct {
	hash    uint64
	holders [maxHolders]holder
	n       int
	// homes are where the preamble goes by preference; all hosts compute the same, so they fill the same
	// caches without a message.
	homes      [maxHomes]*target
	homesN     int
	homeKnown  bool
	prev, next *preamble
}

func (p *preamble) holds(t *target) bool {
	for _, h := range p.holders[:p.n] {
		if h.target == t {
			return h.current()
		}
	}
	return false
}

// belongs reports whether the target holds the preamble or is one of its homes.
func (p *preamble) belongs(t *target) bool {
	for _, h := range p.homes[:p.homesN] {
		if h == t {
			return true
		}
	}
	return p.holds(t)
}

func (p *preamble) add(t *target) {
	p.drop(t)
	if p.n == maxHolders {
		copy(p.holders[:], p.holders[1:])
		p.n--
	}
	p.holders[p.n] = holder{target: t, gaps: t.cacheGaps}
	p.n++
}

func (p *preamble) drop(t *target) {
	for i, h := range p.holders[:p.n] {
		if h.target == t {
			copy(p.holders[i:p.n], p.holders[i+1:p.n])
			p.n--
			p.holders[p.n] = holder{}
			return
		}
	}
}

// preambles is a table of preambles that forgets the least recently used.
type preambles struct {
	rows map[uint64]*preamble
	// Sentinel of a ring: next is the most recent, prev the least recent.
	ring *preamble
}

func newPreambles() preambles {
	ring := &preamble{}
	ring.prev, ring.next = ring, ring
	return preambles{rows: map[uint64]*preamble{}, ring: ring}
}

func (ps *preambles) touch(hash uint64) *preamble {
	p, ok := ps.rows[hash]
	if ok {
		p.prev.next, p.next.prev = p.next, p.prev
	} else {
		if len(ps.rows) >= maxPreambles {
			old := ps.ring.prev
			old.prev.next, old.next.prev = old.next, old.prev
			delete(ps.rows, old.hash)
		}
		p = &preamble{hash: hash}
		ps.rows[hash] = p
	}
	p.prev, p.next = ps.ring, ps.ring.next
	p.next.prev = p
	ps.ring.next = p
	return p
}

// homesOf returns the targets ranked first for the preamble by rendezvous hash. The walk over the targets
// is done once for each preamble and set of pipelines.
func (s *service) homesOf(p *preamble) []*target {
	if p.homeKnown {
		return p.homes[:p.homesN]
	}
	p.homeKnown = true
	var ranks [maxHomes]uint64
	for _, t := range s.list {
		var key [16]byte
		binary.LittleEndian.PutUint64(key[:8], p.hash)
		binary.LittleEndian.PutUint64(key[8:], t.hash)
		rank := xxhash.Sum64(key[:])
		at := p.homesN
		for at > 0 && rank > ranks[at-1] {
			at--
		}
		if at == maxHomes {
			continue
		}
		copy(ranks[at+1:], ranks[at:])
		copy(p.homes[at+1:], p.homes[at:])
		ranks[at], p.homes[at] = rank, t
		p.homesN = min(p.homesN+1, maxHomes)
	}
	return p.homes[:p.homesN]
}

// forgetHomes makes homes be computed anew after the pipelines have changed.
func (ps *preambles) forgetHomes() {
	for _, p := range ps.rows {
		p.homes, p.homesN, p.homeKnown = [maxHomes]*target{}, 0, false
	}
}
