package jsonc

import (
	"bytes"
	"encoding/json"
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

// Line returns the line of a field; a field that is missing has that of its nearest parent.
func (f *File) Line(field string) int {
	line, known := f.lines[field]
	for !known && field != "" {
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
		line, known = f.lines[field]
	}
	return max(line, 1)
}

// Fault returns an error about a field of the file.
func (f *File) Fault(field, reason string) *Error {
	return &Error{line: f.Line(field), field: field, reason: reason}
}

// Given reports whether the file holds the field.
func (f *File) Given(field string) bool {
	_, ok := f.lines[field]
	return ok
}

// Decode fills the structure that v points to and refuses unknown and duplicate fields, wrong types and nulls.
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
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), v); err != nil {
		return nil, &Error{line: 1, reason: err.Error()}
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
	if reason := mismatch(v.Value, t); reason != "" {
		return w.file.Fault(path, reason)
	}
	switch kind := v.Value.(type) {
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

// mismatch returns why a value does not fit the type, or an empty string.
func mismatch(v hujson.ValueTrimmed, t reflect.Type) string {
	literal, isLiteral := v.(hujson.Literal)
	if isLiteral && literal.Kind() == 'n' {
		// A null would leave the default in place, as if the field had not been written.
		return "must not be null"
	}
	if t == nil {
		return ""
	}
	_, isObject := v.(*hujson.Object)
	_, isArray := v.(*hujson.Array)
	switch t.Kind() {
	case reflect.String:
		return unless(isLiteral && literal.Kind() == '"', "must be a string")
	case reflect.Bool:
		return unless(isLiteral && (literal.Kind() == 't' || literal.Kind() == 'f'), "must be true or false")
	case reflect.Int, reflect.Int64:
		return unless(isLiteral && isNumber(literal, t), "must be a whole number")
	case reflect.Uint64:
		return unless(isLiteral && isNumber(literal, t), "must be a whole number of at least 0")
	case reflect.Slice:
		return unless(isArray, "must be a list")
	case reflect.Struct, reflect.Map:
		return unless(isObject, "must be an object")
	default:
		return ""
	}
}

func unless(ok bool, reason string) string {
	if ok {
		return ""
	}
	return reason
}

func isNumber(literal hujson.Literal, t reflect.Type) bool {
	return literal.Kind() == '0' && json.Unmarshal(literal, reflect.New(t).Interface()) == nil
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

func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), len(data))], []byte{'\n'})
}
