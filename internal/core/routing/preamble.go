package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPreambles bounds the memory for prefix locations of one service: 4,096 entries of about 100 bytes.
	maxPreambles = 4096
	// maxHolders bounds the pipelines recorded as holders of one preamble. More would bring no benefit, since
	// the selection considers only the two latest.
	maxHolders = 4
	// maxAssigned is the number of pipelines assigned to each preamble. The second one shares the load of a
	// popular preamble; each further one would need the same amount of cache memory for every preamble.
	maxAssigned = 2
)

// holder is a pipeline that held a preamble, with the number of gaps in its cache events at that time.
type holder struct {
	target    *target
	cacheGaps int
}

// upToDate reports whether no cache event of the pipeline was lost since. A lost event may have been an
// eviction.
func (h holder) upToDate() bool { return h.cacheGaps == h.target.cacheGaps }

// preamble records which pipelines hold the KV cache of a shared preamble.
type preamble struct {
	hash        uint64
	holders     [maxHolders]holder
	holderCount int
	// assigned lists the pipelines that are preferred for the preamble. All hosts compute the same list, so
	// they fill the same caches without exchanging messages.
	assigned         [maxAssigned]*target
	assignedCount    int
	assignmentCached bool
	prev, next       *preamble
}

func (p *preamble) holds(t *target) bool {
	for _, h := range p.holders[:p.holderCount] {
		if h.target == t {
			return h.upToDate()
		}
	}
	return false
}

// hasAffinity reports whether the target holds the preamble or is assigned to it.
func (p *preamble) hasAffinity(t *target) bool {
	for _, h := range p.assigned[:p.assignedCount] {
		if h == t {
			return true
		}
	}
	return p.holds(t)
}

func (p *preamble) addHolder(t *target) {
	p.dropHolder(t)
	if p.holderCount == maxHolders {
		copy(p.holders[:], p.holders[1:])
		p.holderCount--
	}
	p.holders[p.holderCount] = holder{target: t, cacheGaps: t.cacheGaps}
	p.holderCount++
}

func (p *preamble) dropHolder(t *target) {
	for i, h := range p.holders[:p.holderCount] {
		if h.target == t {
			copy(p.holders[i:p.holderCount], p.holders[i+1:p.holderCount])
			p.holderCount--
			p.holders[p.holderCount] = holder{}
			return
		}
	}
}

// preambles is a table of preambles with eviction of the least recently used.
type preambles struct {
	rows map[uint64]*preamble
	// Sentinel of a circular list: next is the most recently used entry, prev the least recently used.
	lru *preamble
}

func newPreambles() preambles {
	lru := &preamble{}
	lru.prev, lru.next = lru, lru
	return preambles{rows: map[uint64]*preamble{}, lru: lru}
}

// getOrCreate returns the entry of the preamble and marks it as the most recently used. A full table evicts the
// least recently used entry for a new one.
func (ps *preambles) getOrCreate(hash uint64) *preamble {
	p, ok := ps.rows[hash]
	if ok {
		p.prev.next, p.next.prev = p.next, p.prev
	} else {
		if len(ps.rows) >= maxPreambles {
			old := ps.lru.prev
			old.prev.next, old.next.prev = old.next, old.prev
			delete(ps.rows, old.hash)
		}
		p = &preamble{hash: hash}
		ps.rows[hash] = p
	}
	p.prev, p.next = ps.lru, ps.lru.next
	p.next.prev = p
	ps.lru.next = p
	return p
}

// assignedTargets returns the targets with the highest rendezvous hash for the preamble. The result is
// cached, so the scan over all targets runs once for each preamble and set of pipelines.
func (s *service) assignedTargets(p *preamble) []*target {
	if p.assignmentCached {
		return p.assigned[:p.assignedCount]
	}
	p.assignmentCached = true
	var ranks [maxAssigned]uint64
	for _, t := range s.list {
		var key [16]byte
		binary.LittleEndian.PutUint64(key[:8], p.hash)
		binary.LittleEndian.PutUint64(key[8:], t.hash)
		rank := xxhash.Sum64(key[:])
		at := p.assignedCount
		for at > 0 && rank > ranks[at-1] {
			at--
		}
		if at == maxAssigned {
			continue
		}
		copy(ranks[at+1:], ranks[at:])
		copy(p.assigned[at+1:], p.assigned[at:])
		ranks[at], p.assigned[at] = rank, t
		p.assignedCount = min(p.assignedCount+1, maxAssigned)
	}
	return p.assigned[:p.assignedCount]
}

// clearAssignments discards the assigned pipelines of all preambles. They are computed again on the next
// use, after the set of pipelines has changed.
func (ps *preambles) clearAssignments() {
	for _, p := range ps.rows {
		p.assigned, p.assignedCount, p.assignmentCached = [maxAssigned]*target{}, 0, false
	}
}
