package objectapi

// ObjectConfig describes an Object.
type ObjectConfig struct {
	Kind    string
	Name    string
	Version int64
	Value   []byte
	Deleted bool
}

// Object is one object in the state that a call returned.
type Object struct {
	kind    string
	name    string
	version int64
	value   []byte
	deleted bool
}

// NewObject returns an object.
func NewObject(cfg ObjectConfig) Object {
	return Object{kind: cfg.Kind, name: cfg.Name, version: cfg.Version, value: cfg.Value, deleted: cfg.Deleted}
}

// Kind returns the kind.
func (o Object) Kind() string { return o.kind }

// Name returns the name, which is unique within the kind.
func (o Object) Name() string { return o.name }

// Version returns the version that the last change gave the object.
func (o Object) Version() int64 { return o.version }

// Value returns the content; callers must not change it.
func (o Object) Value() []byte { return o.value }

// Deleted reports whether a watch saw the object deleted.
func (o Object) Deleted() bool { return o.deleted }

// Snapshot is the answer of List and Watch.
type Snapshot struct {
	version int64
	objects []Object
	reset   bool
}

// Version returns the store version that the objects reflect; the next watch continues after it.
func (s Snapshot) Version() int64 { return s.version }

// Objects returns all objects of the kind for List, and the changed ones in version order for Watch.
func (s Snapshot) Objects() []Object { return s.objects }

// Reset reports that a watch could not continue after the given version, because the store was
// restored to an older state or no longer keeps the changes; the objects are then a full list.
func (s Snapshot) Reset() bool { return s.reset }

// Write is a conditional write of one object.
type Write struct {
	Kind  string
	Name  string
	Value []byte
	// Expected is the version that must be current; zero creates the object, which must not exist.
	Expected int64
}
