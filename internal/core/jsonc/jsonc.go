package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Error is a decoding or validation error with its position in the file.
type Error struct {
	line   int
	field  string
	reason string
}

// Line returns the line of the error, counted from 1.
func (e *Error) Line() int { return e.line }

// Field returns the path of the invalid field, such as "limits.queue".
func (e *Error) Field() string { return e.field }

// Reason returns the message without the position.
func (e *Error) Reason() string { return e.reason }

// Error implements error.
func (e *Error) Error() string {
	if e.field == "" {
		return fmt.Sprintf("line %d: %s", e.line, e.reason)
	}
	return fmt.Sprintf("line %d: field %s: %s", e.line, e.field, e.reason)
}

// File holds the line of each field of a decoded file.
type File struct {
	lines map[string]int
}

// Line returns the line of a field. For a missing field it returns the line of the nearest parent.
func (f *File) Line(field string) int {
	line, known := f.lines[field]
	for !known && field != "" {
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
		line, known = f.lines[field]
	}
	return max(line, 1)
}

// FieldError returns an error for a field of the file.
func (f *File) FieldError(field, reason string) *Error {
	return &Error{line: f.Line(field), field: field, reason: reason}
}

// Has reports whether the file contains the field.
func (f *File) Has(field string) bool {
	_, ok := f.lines[field]
	return ok
}

// Decode decodes data into the struct that v points to. It rejects unknown and duplicate fields,
// wrong types and nulls.
func Decode(data []byte, v any) (*File, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(data, err)
	}
	file := &File{lines: map[string]int{}}
	w := walker{data: data, file: file}
	if err := w.walkValue(&root, reflect.TypeOf(v).Elem(), ""); err != nil {
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

func (w *walker) walkValue(v *hujson.Value, t reflect.Type, path string) error {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	w.file.lines[path] = lineAt(w.data, v.StartOffset)
	if reason := mismatch(v.Value, t); reason != "" {
		return w.file.FieldError(path, reason)
	}
	switch kind := v.Value.(type) {
	case *hujson.Object:
		return w.walkObject(kind, t, path)
	case *hujson.Array:
		var elem reflect.Type
		if t != nil && t.Kind() == reflect.Slice {
			elem = t.Elem()
		}
		for i := range kind.Elements {
			if err := w.walkValue(&kind.Elements[i], elem, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// mismatch returns the reason why a value does not fit the type, or an empty string.
func mismatch(v hujson.ValueTrimmed, t reflect.Type) string {
	literal, isLiteral := v.(hujson.Literal)
	if isLiteral && literal.Kind() == 'n' {
		// A null would keep the default value, as if the field were missing.
		return "must not be null"
	}
	if t == nil {
		return ""
	}
	_, isObject := v.(*hujson.Object)
	_, isArray := v.(*hujson.Array)
	switch t.Kind() {
	case reflect.String:
		return reasonUnless(isLiteral && literal.Kind() == '"', "must be a string")
	case reflect.Bool:
		return reasonUnless(isLiteral && (literal.Kind() == 't' || literal.Kind() == 'f'), "must be true or false")
	case reflect.Int, reflect.Int64:
		return reasonUnless(isLiteral && isNumber(literal, t), "must be a whole number")
	case reflect.Uint64:
		return reasonUnless(isLiteral && isNumber(literal, t), "must be a whole number of at least 0")
	case reflect.Slice:
		return reasonUnless(isArray, "must be a list")
	case reflect.Struct, reflect.Map:
		return reasonUnless(isObject, "must be an object")
	default:
		return ""
	}
}

func reasonUnless(ok bool, reason string) string {
	if ok {
		return ""
	}
	return reason
}

func isNumber(literal hujson.Literal, t reflect.Type) bool {
	return literal.Kind() == '0' && json.Unmarshal(literal, reflect.New(t).Interface()) == nil
}

func (w *walker) walkObject(o *hujson.Object, t reflect.Type, path string) error {
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		literal, ok := m.Name.Value.(hujson.Literal)
		if !ok {
			continue
		}
		name := literal.String()
		fieldPath := name
		if path != "" {
			fieldPath = path + "." + name
		}
		line := lineAt(w.data, m.Name.StartOffset)
		if seen[name] {
			return &Error{line: line, field: fieldPath, reason: "given twice"}
		}
		seen[name] = true
		memberType, known := fieldType(t, name)
		if !known {
			return &Error{line: line, field: fieldPath, reason: "unknown field"}
		}
		if err := w.walkValue(&m.Value, memberType, fieldPath); err != nil {
			return err
		}
	}
	return nil
}

// fieldType returns the type of the field with a JSON name and whether it exists. Types other
// than structs accept every name.
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
	// The library formats errors as "hujson: line N, column M: reason".
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
