package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Diff returns one line for each field that differs from a to b, in document order.
//
// The generation is omitted, because every accepted change increments it.
func Diff(a, b Document) []string {
	var out []string
	va, vb := reflect.ValueOf(a.cfg), reflect.ValueOf(b.cfg)
	for i := range va.NumField() {
		name, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
		if name != "generation" {
			out = diffValue(out, name, va.Field(i), vb.Field(i))
		}
	}
	return out
}

func diffValue(out []string, path string, a, b reflect.Value) []string {
	if reflect.DeepEqual(a.Interface(), b.Interface()) {
		return out
	}
	if a.Kind() == reflect.Pointer && !a.IsNil() && !b.IsNil() {
		return diffValue(out, path, a.Elem(), b.Elem())
	}
	switch a.Kind() {
	case reflect.Struct:
		for i := range a.NumField() {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
			out = diffValue(out, path+"."+name, a.Field(i), b.Field(i))
		}
		return out
	case reflect.Slice:
		return diffList(out, path, a, b)
	default:
		return append(out, fmt.Sprintf("%s: %s -> %s", path, formatValue(a), formatValue(b)))
	}
}

// diffList matches list entries by name, so that a moved entry is not reported as changed fields.
func diffList(out []string, path string, a, b reflect.Value) []string {
	newEntries := map[string]reflect.Value{}
	for i := range b.Len() {
		newEntries[entryName(b.Index(i))] = b.Index(i)
	}
	oldNames := map[string]bool{}
	before := len(out)
	for i := range a.Len() {
		k := entryName(a.Index(i))
		oldNames[k] = true
		p := fmt.Sprintf("%s[%s]", path, k)
		if v, ok := newEntries[k]; ok {
			out = diffValue(out, p, a.Index(i), v)
			continue
		}
		out = append(out, fmt.Sprintf("%s: removed", p))
	}
	for i := range b.Len() {
		if k := entryName(b.Index(i)); !oldNames[k] {
			out = append(out, fmt.Sprintf("%s[%s]: added %s", path, k, formatValue(b.Index(i))))
		}
	}
	if len(out) == before {
		return append(out, path+": order changed")
	}
	return out
}

func entryName(v reflect.Value) string {
	switch e := v.Interface().(type) {
	case Workspace:
		return e.Name
	case RequestKind:
		return e.Name
	case Call:
		return e.Method + " " + e.Path
	default:
		return fmt.Sprint(e)
	}
}

func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.Pointer && v.IsNil() {
		return "none"
	}
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(b)
}
