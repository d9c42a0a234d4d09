package benchmembers

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// Prints all figures when asked to; they never pass or fail a test.
func TestFigures(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("set FIGURES=1 to measure")
	}
	is.New(t).NoErr(Run(os.Stdout, os.Getenv("NAME")))
}

// Guards against a benchmark that breaks unnoticed: the smallest size must print each figure.
func TestSmallestSizePrintsFigures(t *testing.T) {
	is := is.New(t)
	old := sizes
	sizes = sizes[:1]
	defer func() { sizes = old }()
	var b bytes.Buffer
	is.NoErr(Run(&b, ""))
	is.Equal(bytes.Count(b.Bytes(), []byte("\n")), 14)
}
