package main

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// Guards against measurements that share a name, so that one of them cannot be selected.
func TestNamesAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, m := range measurements {
		is.True(m.name != "" && m.about != "" && m.run != nil)
		is.True(!seen[m.name])
		seen[m.name] = true
	}
}

// Guards against a misspelt name that is accepted, prints nothing and looks like a run without figures.
func TestUnknownNameFails(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.True(run(options{Name: "no-such-measurement", Bin: "."}, &out) != nil)
	is.Equal(out.Len(), 0)
	is.NoErr(run(options{List: true}, &out))
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), len(measurements))
}
