package document

import (
	"maps"

	"waxwingplank/internal/core/table"
)

// Store holds the generation in force of each document on this host.
//
// It is not safe for use by several goroutines at once.
type Store struct {
	docs *table.Table[table.ServiceID, Document]
	gens map[string]uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{docs: table.New[table.ServiceID, Document](), gens: map[string]uint64{}}
}

// Adopt takes the document if its generation is above the one in force, and reports whether it did.
func (s *Store) Adopt(d Document) bool {
	if d.Service() == "" || Check(d) != nil {
		return false
	}
	if g, ok := s.gens[string(d.Service())]; ok && d.Generation() <= g {
		return false
	}
	s.docs.Put(d.Service(), d)
	s.gens[string(d.Service())] = d.Generation()
	return true
}

// Get returns the document in force.
func (s *Store) Get(id table.ServiceID) (Document, bool) { return s.docs.Get(id) }

// All returns every document in force, in no particular order.
func (s *Store) All() []Document {
	out := make([]Document, 0, s.docs.Len())
	s.docs.Each(func(_ table.ServiceID, d Document) bool {
		out = append(out, d)
		return true
	})
	return out
}

// Generations returns the generation in force of each service.
func (s *Store) Generations() map[string]uint64 { return maps.Clone(s.gens) }

// TakeChanged returns the services adopted since the last call.
func (s *Store) TakeChanged() []table.ServiceID { return s.docs.TakeChanged() }

// Reverted returns the documents that the platform shows at a lower generation than the one in
// force, or not at all; they must be written back. shown is a complete listing of the platform.
func (s *Store) Reverted(shown map[string]uint64) []Document {
	var out []Document
	s.docs.Each(func(id table.ServiceID, d Document) bool {
		if g, ok := shown[string(id)]; !ok || g < d.Generation() {
			out = append(out, d)
		}
		return true
	})
	return out
}
