package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Diff lists the fields that differ from a to b, one line each, in document order.
//
// The generation is left out, because every accepted change raises it.
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
		return append(out, fmt.Sprintf("%s: %s -> %s", path, show(a), show(b)))
	}
}

// diffList compares lists by the name of each entry, so that a moved entry is no change of its fields.
func diffList(out []string, path string, a, b reflect.Value) []string {
	in := map[string]reflect.Value{}
	for i := range b.Len() {
		in[key(b.Index(i))] = b.Index(i)
	}
	had := map[string]bool{}
	before := len(out)
	for i := range a.Len() {
		k := key(a.Index(i))
		had[k] = true
		p := fmt.Sprintf("%s[%s]", path, k)
		if v, ok := in[k]; ok {
			out = diffValue(out, p, a.Index(i), v)
			continue
		}
		out = append(out, fmt.Sprintf("%s: removed", p))
	}
	for i := range b.Len() {
		if k := key(b.Index(i)); !had[k] {
			out = append(out, fmt.Sprintf("%s[%s]: added %s", path, k, show(b.Index(i))))
		}
	}
	if len(out) == before {
		return append(out, path+": order changed")
	}
	return out
}

func key(v reflect.Value) string {
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

func show(v reflect.Value) string {
	if v.Kind() == reflect.Pointer && v.IsNil() {
		return "none"
	}
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(b)
}
