package document

import (
	"maps"

	"waxwingplank/internal/core/table"
)

// Store holds the document in force of each service on this host.
//
// It is not safe for concurrent use.
type Store struct {
	docs        *table.Table[table.ServiceID, Document]
	generations map[string]uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{docs: table.New[table.ServiceID, Document](), generations: map[string]uint64{}}
}

// Adopt puts the document in force if it is valid and its generation is higher than the one in force.
// It reports whether it did so.
func (s *Store) Adopt(d Document) bool {
	if d.Service() == "" || Check(d) != nil {
		return false
	}
	if g, ok := s.generations[string(d.Service())]; ok && d.Generation() <= g {
		return false
	}
	s.docs.Put(d.Service(), d)
	s.generations[string(d.Service())] = d.Generation()
	return true
}

// Get returns the document in force of a service.
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

// Generations returns the generation in force of each service, by service name.
func (s *Store) Generations() map[string]uint64 { return maps.Clone(s.generations) }

// TakeChanged returns the services whose documents were adopted since the last call.
func (s *Store) TakeChanged() []table.ServiceID { return s.docs.TakeChanged() }

// Reverted returns the documents that are missing on the platform or have a lower generation there
// than the one in force. They must be written back. listed holds the generations of a complete
// listing of the platform.
func (s *Store) Reverted(listed map[string]uint64) []Document {
	var out []Document
	s.docs.Each(func(id table.ServiceID, d Document) bool {
		if g, ok := listed[string(id)]; !ok || g < d.Generation() {
			out = append(out, d)
		}
		return true
	})
	return out
}
