package jsonc

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

type inner struct {
	Name   string `json:"name"`
	Number int    `json:"number"`
}

type outer struct {
	Outer  inner   `json:"outer"`
	List   []inner `json:"list"`
	Number int     `json:"number"`
}

// Guards against invalid fields that are silently ignored, and against errors with a wrong position.
func TestFaults(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/faults.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			want, _, _ := strings.Cut(strings.TrimPrefix(string(f.Data), "// "), "\n")
			var v outer
			_, err := Decode(f.Data, &v)
			var fault *Error
			is.True(errors.As(err, &fault))
			is.Equal(fmt.Sprintf("%d|%s|%s", fault.Line(), fault.Field(), fault.Reason()), want)
		})
	}
}

// Guards against rejecting comments and trailing commas, and against overwriting defaults of missing
// fields.
func TestDecode(t *testing.T) {
	is := is.New(t)
	v := outer{Number: 7}
	at, err := Decode([]byte("{\n// a comment\n\"outer\": {\"name\": \"a\"},\n}"), &v)
	is.NoErr(err)
	is.Equal(v.Outer.Name, "a")
	is.Equal(v.Number, 7)
	is.Equal(at.FieldError("outer.name", "x").Error(), "line 3: field outer.name: x")
	is.Equal(at.FieldError("outer.absent", "x").Line(), 3) // that of the nearest parent
	is.Equal(at.FieldError("absent", "x").Line(), 1)
}
