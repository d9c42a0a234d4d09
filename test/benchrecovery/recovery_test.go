package benchrecovery

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a bench that prints lines its reader cannot parse, or that measures no fault at all.
func TestRunPrintsFigures(t *testing.T) {
	// Virtual time keeps the test short; the bench itself runs in real time.
	synctest.Test(t, printsFigures)
}

func printsFigures(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	cfg := Config{Pipelines: 5, Slots: 16, Streams: 10, Tokens: 150, Step: 20 * time.Millisecond}
	is.NoErr(Run(context.Background(), &out, cfg))
	dec := json.NewDecoder(&out)
	hit := 0
	for dec.More() {
		var f figure
		is.NoErr(dec.Decode(&f))
		is.True(f.Name != "" && f.Unit != "")
		if f.Unit == "streams" && f.Value > 0 {
			hit++
		}
	}
	is.True(hit >= 5) // each kind of fault hit some stream
}
