package benchmembers

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// Prints all figures if FIGURES is set. Their values never fail the test.
func TestFigures(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("set FIGURES=1 to measure")
	}
	is.New(t).NoErr(Run(os.Stdout, os.Getenv("NAME")))
}

// Guards against a benchmark that breaks unnoticed. The smallest size must print every figure.
func TestSmallestSizePrintsFigures(t *testing.T) {
	is := is.New(t)
	old := sizes
	sizes = sizes[:1]
	defer func() { sizes = old }()
	var b bytes.Buffer
	is.NoErr(Run(&b, ""))
	is.Equal(bytes.Count(b.Bytes(), []byte("\n")), 14)
}
