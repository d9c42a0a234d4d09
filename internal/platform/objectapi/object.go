package objectapi

// ObjectConfig holds the fields of an Object.
type ObjectConfig struct {
	Kind    string
	Name    string
	Version int64
	Value   []byte
	Deleted bool
}

// Object is one object as returned by a call.
type Object struct {
	kind    string
	name    string
	version int64
	value   []byte
	deleted bool
}

// NewObject returns an object with the given fields.
func NewObject(cfg ObjectConfig) Object {
	return Object{kind: cfg.Kind, name: cfg.Name, version: cfg.Version, value: cfg.Value, deleted: cfg.Deleted}
}

// Kind returns the kind.
func (o Object) Kind() string { return o.kind }

// Name returns the name, which is unique within the kind.
func (o Object) Name() string { return o.name }

// Version returns the version that the last change assigned to the object.
func (o Object) Version() int64 { return o.version }

// Value returns the content. Callers must not change it.
func (o Object) Value() []byte { return o.value }

// Deleted reports whether a watch returned the object as deleted.
func (o Object) Deleted() bool { return o.deleted }

// Snapshot is the result of List or Watch.
type Snapshot struct {
	version int64
	objects []Object
	reset   bool
}

// Version returns the store version of the snapshot. Pass it to the next Watch.
func (s Snapshot) Version() int64 { return s.version }

// Objects returns all objects of the kind for List, and the changed objects in version order for Watch.
func (s Snapshot) Objects() []Object { return s.objects }

// Reset reports whether a watch could not continue after the given version, because the store was
// restored to an older state or no longer keeps the changes. Objects then returns all objects.
func (s Snapshot) Reset() bool { return s.reset }

// Write is a conditional write of one object.
type Write struct {
	Kind  string
	Name  string
	Value []byte
	// Expected is the version that must be current. Zero creates the object, which must not exist yet.
	Expected int64
}
