package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"
)

// Error is a fault in a document; Line is 0 where the document did not come from text.
type Error struct {
	Line   int
	Field  string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("document: field %q: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("document: line %d: field %q: %s", e.Line, e.Field, e.Reason)
}

// maxBytes bounds a document; the object API takes values up to 1 MB.
const maxBytes = 1 << 20

// The limits that hold where a document leaves them out.
const (
	defaultQueue     = 512
	defaultMaxTokens = 4096
	defaultTimeoutMs = 60_000
)

// Parse reads a document in JSON with comments and checks it.
func Parse(data []byte) (Document, error) {
	if len(data) > maxBytes {
		return Document{}, &Error{Line: 1, Field: "", Reason: fmt.Sprintf("longer than %d bytes", maxBytes)}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return Document{}, fmt.Errorf("document: %w", err)
	}
	r := reader{data: data, lines: map[string]int{}}
	r.root = r.at(&root)
	cfg := Config{Limits: Limits{Queue: defaultQueue, MaxTokens: defaultMaxTokens, TimeoutMs: defaultTimeoutMs}}
	if err := r.config(&root, &cfg); err != nil {
		return Document{}, err
	}
	if err := check(cfg, r.line); err != nil {
		return Document{}, err
	}
	return Document{cfg: cfg}, nil
}

// field reads one member of an object.
type field func(v *hujson.Value, path string) error

// reader walks the syntax tree and remembers the line of each field for later messages.
type reader struct {
	data  []byte
	lines map[string]int
	root  int
}

func (r *reader) line(path string) int {
	for path != "" {
		if n, ok := r.lines[path]; ok {
			return n
		}
		path = parent(path)
	}
	return r.root
}

func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

func (r *reader) at(v *hujson.Value) int {
	return 1 + bytes.Count(r.data[:v.StartOffset], []byte("\n"))
}

func (r *reader) fault(v *hujson.Value, path, reason string) error {
	return &Error{Line: r.at(v), Field: path, Reason: reason}
}

func (r *reader) object(v *hujson.Value, path string, fields map[string]field) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return r.fault(v, path, "must be an object")
	}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		p := join(path, name)
		f, ok := fields[name]
		if !ok {
			return r.fault(&m.Name, p, "unknown field")
		}
		if _, ok := r.lines[p]; ok {
			return r.fault(&m.Name, p, "given twice")
		}
		r.lines[p] = r.at(&m.Name)
		if err := f(&m.Value, p); err != nil {
			return err
		}
	}
	return nil
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (r *reader) list(v *hujson.Value, path string, f field) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return r.fault(v, path, "must be a list")
	}
	for i := range a.Elements {
		p := path + "[" + strconv.Itoa(i) + "]"
		r.lines[p] = r.at(&a.Elements[i])
		if err := f(&a.Elements[i], p); err != nil {
			return err
		}
	}
	return nil
}

func (r *reader) text(to *string) field {
	return func(v *hujson.Value, path string) error {
		l, ok := v.Value.(hujson.Literal)
		if !ok || l.Kind() != '"' {
			return r.fault(v, path, "must be a string")
		}
		*to = l.String()
		return nil
	}
}

func (r *reader) number(to *int64) field {
	return func(v *hujson.Value, path string) error {
		if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == '0' && json.Unmarshal(l, to) == nil {
			return nil
		}
		return r.fault(v, path, "must be a whole number")
	}
}

func (r *reader) flag(to *bool) field {
	return func(v *hujson.Value, path string) error {
		l, ok := v.Value.(hujson.Literal)
		if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
			return r.fault(v, path, "must be true or false")
		}
		*to = l.Bool()
		return nil
	}
}

func (r *reader) generation(to *uint64) field {
	return func(v *hujson.Value, path string) error {
		if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == '0' && json.Unmarshal(l, to) == nil {
			return nil
		}
		return r.fault(v, path, "must be a whole number of at least 0")
	}
}

func (r *reader) config(root *hujson.Value, c *Config) error {
	kind := string(c.Kind)
	err := r.object(root, "", map[string]field{
		"service":    r.text(&c.Service),
		"generation": r.generation(&c.Generation),
		"kind":       r.text(&kind),
		"owner":      r.text(&c.Owner),
		"model": func(v *hujson.Value, path string) error {
			c.Model = &Model{}
			return r.model(v, path, c.Model)
		},
		"endpoints": func(v *hujson.Value, path string) error {
			return r.list(v, path, func(v *hujson.Value, path string) error {
				c.Endpoints = append(c.Endpoints, "")
				return r.text(&c.Endpoints[len(c.Endpoints)-1])(v, path)
			})
		},
		"workspaces": func(v *hujson.Value, path string) error {
			return r.list(v, path, func(v *hujson.Value, path string) error { return r.workspace(v, path, c) })
		},
		"kinds": func(v *hujson.Value, path string) error {
			return r.list(v, path, func(v *hujson.Value, path string) error { return r.kind(v, path, c) })
		},
		"calls": func(v *hujson.Value, path string) error {
			return r.list(v, path, func(v *hujson.Value, path string) error { return r.call(v, path, c) })
		},
		"limits": func(v *hujson.Value, path string) error {
			return r.object(v, path, map[string]field{
				"queue":      r.number(&c.Limits.Queue),
				"max_tokens": r.number(&c.Limits.MaxTokens),
				"timeout_ms": r.number(&c.Limits.TimeoutMs),
			})
		},
	})
	c.Kind = Kind(kind)
	return err
}

func (r *reader) model(v *hujson.Value, path string, m *Model) error {
	return r.object(v, path, map[string]field{
		"name":               r.text(&m.Name),
		"version":            r.text(&m.Version),
		"layers":             r.number(&m.Layers),
		"layer_bytes":        r.number(&m.LayerBytes),
		"kv_bytes_per_token": r.number(&m.KVBytesPerToken),
	})
}

func (r *reader) workspace(v *hujson.Value, path string, c *Config) error {
	w := Workspace{Weight: 1}
	err := r.object(v, path, map[string]field{"name": r.text(&w.Name), "weight": r.number(&w.Weight)})
	c.Workspaces = append(c.Workspaces, w)
	return err
}

func (r *reader) kind(v *hujson.Value, path string, c *Config) error {
	k := RequestKind{}
	err := r.object(v, path, map[string]field{
		"name":           r.text(&k.Name),
		"priority":       r.number(&k.Priority),
		"first_token_ms": r.number(&k.FirstTokenMs),
	})
	c.Kinds = append(c.Kinds, k)
	return err
}

func (r *reader) call(v *hujson.Value, path string, c *Config) error {
	l := Call{}
	err := r.object(v, path, map[string]field{
		"method":     r.text(&l.Method),
		"path":       r.text(&l.Path),
		"repeatable": r.flag(&l.Repeatable),
	})
	c.Calls = append(c.Calls, l)
	return err
}
