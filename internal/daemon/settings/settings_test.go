package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

// Guards against a daemon that starts with misread settings, and against errors that do not name the line and the field.
func TestParseFaults(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/faults.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			first, _, _ := strings.Cut(string(f.Data), "\n")
			_, err := Parse(f.Data)
			is.True(err != nil)
			is.Equal(err.Error(), strings.TrimPrefix(first, "// want: "))
		})
	}
}
