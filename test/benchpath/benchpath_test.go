package benchpath

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
)

// Guards against output lines that cannot be parsed, and against a bound or baseline that is lost in encoding.
func TestFigureLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	cfg := Config{Out: &out}
	is.NoErr(cfg.write(figure{Name: "a", Value: 3, Unit: "ms"}.atMost(2).withBaseline(0), figure{Name: "b", Unit: "ms"}))
	is.Equal(out.String(), `{"name":"a","value":3,"unit":"ms","bound":2,"baseline":0,"pass":false}`+"\n"+
		`{"name":"b","value":0,"unit":"ms","bound":null,"baseline":null,"pass":null}`+"\n")
}

// Guards against reading processor time or memory from the wrong field of /proc.
func TestProcessFigures(t *testing.T) {
	is := is.New(t)
	before, err := processorTime(os.Getpid())
	is.NoErr(err)
	for start := time.Now(); time.Since(start) < 100*time.Millisecond; {
		_ = bytes.Repeat([]byte{1}, 1<<10)
	}
	after, err := processorTime(os.Getpid())
	is.NoErr(err)
	is.True(after > before)                // busy for several ticks
	is.True(after-before < 10*time.Second) // the unit is right
	m, err := memoryOf(os.Getpid())
	is.NoErr(err)
	is.True(m.resident >= m.anonymous && m.anonymous > 1<<20 && m.resident < 1<<34)
}

// Guards against computing the added latency from the wrong path.
func TestAddedLatency(t *testing.T) {
	is := is.New(t)
	paths := []*path{{name: "direct"}, {name: "host"}}
	for i, p := range paths {
		p.hist = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		is.NoErr(p.hist.RecordValue(int64(1000 + 500*i)))
	}
	got := addedLatency("lookup", paths)
	is.Equal(len(got), 2)
	for _, f := range got {
		is.Equal(f.Value, 0.5)
		is.Equal(*f.Baseline, 1.0)
	}
	is.True(*got[1].Pass)
}

// Guards against a copy server that drops or withholds lines.
func TestCopyLines(t *testing.T) {
	is := is.New(t)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{\"token\":{}}\n{\"done\":{}}\n"))
	}))
	defer engine.Close()
	copier := httptest.NewServer(http.HandlerFunc(copyLines))
	defer copier.Close()
	resp, err := openStream(context.Background(), copier.URL+"?to="+engine.Listener.Addr().String(), []byte("{}"))
	is.NoErr(err)
	var got bytes.Buffer
	_, err = got.ReadFrom(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(got.String(), "{\"token\":{}}\n{\"done\":{}}\n")
}

// Guards against a decision benchmark that measures refusals or requests that are never dispatched.
func TestDecisionsAreDispatched(t *testing.T) {
	is := is.New(t)
	// At this size each model has enough pipelines that a random load leaves each model a free slot.
	d := newDecisions(1, 366, 20)
	for range 200 {
		d.finish()
		d.arrive()
	}
	is.Equal(d.notDispatched, 0)
}
