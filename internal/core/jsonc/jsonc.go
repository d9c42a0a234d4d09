package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Error is a fault in a file: where it stands and what is wrong.
type Error struct {
	line   int
	field  string
	reason string
}

// Line returns the line of the fault, counted from 1.
func (e *Error) Line() int { return e.line }

// Field returns the path of the field at fault, such as "limits.queue".
func (e *Error) Field() string { return e.field }

// Reason returns what is wrong, without the place.
func (e *Error) Reason() string { return e.reason }

// Error implements error.
func (e *Error) Error() string {
	if e.field == "" {
		return fmt.Sprintf("line %d: %s", e.line, e.reason)
	}
	return fmt.Sprintf("line %d: field %s: %s", e.line, e.field, e.reason)
}

// File is a decoded file that remembers the line of each field.
type File struct {
	lines map[string]int
}

// Fault returns an error about a field of the file.
func (f *File) Fault(field, reason string) *Error {
	// A missing field has no line of its own; its nearest parent stands in for it.
	at := field
	line, known := f.lines[at]
	for !known && at != "" {
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
		line, known = f.lines[at]
	}
	return &Error{line: max(line, 1), field: field, reason: reason}
}

// Decode fills the structure that v points to and refuses unknown and duplicate fields, and nulls.
func Decode(data []byte, v any) (*File, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(data, err)
	}
	file := &File{lines: map[string]int{}}
	w := walker{data: data, file: file}
	if err := w.value(&root, reflect.TypeOf(v).Elem(), ""); err != nil {
		return nil, err
	}
	// Standardize puts spaces in place of comments, so that offsets still fit the file.
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, syntaxError(data, err)
	}
	if err := json.Unmarshal(plain, v); err != nil {
		return nil, typeError(data, err)
	}
	return file, nil
}

type walker struct {
	data []byte
	file *File
}

func (w *walker) value(v *hujson.Value, t reflect.Type, path string) error {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	w.file.lines[path] = lineAt(w.data, v.StartOffset)
	switch kind := v.Value.(type) {
	case hujson.Literal:
		// A null would leave the default in place, as if the field had not been written.
		if kind.Kind() == 'n' {
			return w.file.Fault(path, "must not be null")
		}
	case *hujson.Object:
		return w.object(kind, t, path)
	case *hujson.Array:
		var elem reflect.Type
		if t != nil && t.Kind() == reflect.Slice {
			elem = t.Elem()
		}
		for i := range kind.Elements {
			if err := w.value(&kind.Elements[i], elem, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *walker) object(o *hujson.Object, t reflect.Type, path string) error {
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		lit, ok := m.Name.Value.(hujson.Literal)
		if !ok {
			continue
		}
		name := lit.String()
		full := name
		if path != "" {
			full = path + "." + name
		}
		line := lineAt(w.data, m.Name.StartOffset)
		if seen[name] {
			return &Error{line: line, field: full, reason: "given twice"}
		}
		seen[name] = true
		ft, known := fieldType(t, name)
		if !known {
			return &Error{line: line, field: full, reason: "unknown field"}
		}
		if err := w.value(&m.Value, ft, full); err != nil {
			return err
		}
	}
	return nil
}

// fieldType returns the type under a JSON name; types that are no structure accept every name.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	if t == nil {
		return nil, true
	}
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	if t.Kind() != reflect.Struct {
		return nil, true
	}
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name {
			return f.Type, true
		}
	}
	return nil, false
}

func syntaxError(data []byte, err error) error {
	reason := err.Error()
	line := 1
	// The library gives the place as "hujson: line N, column M: reason".
	if _, scanErr := fmt.Sscanf(reason, "hujson: line %d,", &line); scanErr != nil {
		line = lineAt(data, len(data))
	}
	if i := strings.LastIndex(reason, ": "); i >= 0 {
		reason = reason[i+2:]
	}
	return &Error{line: line, reason: reason}
}

func typeError(data []byte, err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return &Error{
			line:   lineAt(data, int(wrong.Offset)),
			field:  wrong.Field,
			reason: fmt.Sprintf("is a %s, must be a %s", wrong.Value, typeName(wrong.Type)),
		}
	}
	return &Error{line: 1, reason: err.Error()}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "whole number"
	case reflect.Slice:
		return "list"
	case reflect.Struct, reflect.Map:
		return "object"
	default:
		return t.Kind().String()
	}
}

func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), len(data))], []byte{'\n'})
}
