package document_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"waxwingplank/internal/core/document"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20260101"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func exampleDocument(t *testing.T) document.Document {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile("testdata/page.jsonc")
	is.NoErr(err)
	d, err := document.Parse(data)
	is.NoErr(err)
	return d
}

// Guards against an invalid document that is accepted, or rejected without naming line and field.
func TestFaultsNameLineAndField(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/faults.txtar")
	is.New(t).NoErr(err)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			want, _, _ := strings.Cut(strings.TrimPrefix(string(f.Data), "// "), "\n")
			_, err := document.Parse(f.Data)
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), want))
		})
	}
}

// Guards against a canonical form that parses to a different document.
func TestCanonicalReadsBack(t *testing.T) {
	is := is.New(t)
	d := exampleDocument(t)
	a, err := d.Canonical()
	is.NoErr(err)
	back, err := document.Parse(a)
	is.NoErr(err)
	b, err := back.Canonical()
	is.NoErr(err)
	is.Equal(string(a), string(b))
	is.Equal(len(document.Diff(d, back)), 0)
}

// Guards against a changed field that is not shown to the operator.
func TestDiffListsEachChangedField(t *testing.T) {
	is := is.New(t)
	after, err := document.Parse([]byte(`{
  "service": "label-drafts", "generation": 9, "kind": "pipeline", "owner": "other-team",
  "model": {"name": "hake", "version": "8", "layers": 24, "layer_bytes": 100000000, "kv_bytes_per_token": 65536},
  "endpoints": ["127.0.0.1:7102", "127.0.0.1:7101", "[fd00::1]:7103"],
  "workspaces": [{"name": "exporter-a", "weight": 5}, {"name": "exporter-b"}],
  "kinds": [{"name": "declaration", "priority": 0, "first_token_ms": 2000}],
  "limits": {"queue": 512, "max_tokens": 4096, "timeout_ms": 60000}}`))
	is.NoErr(err)
	is.Equal(strings.Join(document.Diff(exampleDocument(t), after), "\n"), strings.Join([]string{
		`owner: "labels-team" -> "other-team"`,
		`model.version: "7" -> "8"`,
		`endpoints: order changed`,
		`workspaces[exporter-a].weight: 4 -> 5`,
		`workspaces[exporter-b]: added {"name":"exporter-b","weight":1}`,
		`kinds[summary]: removed`,
	}, "\n"))
}

// Guards against a document that reverts to a lower generation when generations arrive out of order.
func TestStoreNeverReverts(t *testing.T) {
	d := exampleDocument(t)
	rapid.Check(t, func(t *rapid.T) {
		s := document.NewStore()
		high := uint64(0)
		for i, g := range rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 30).Draw(t, "generations") {
			if adopted := s.Adopt(d.WithGeneration(g)); adopted != (i == 0 || g > high) {
				t.Fatalf("generation %d over %d: adopted %v", g, high, adopted)
			}
			high = max(high, g)
			if s.Generations()["label-drafts"] != high {
				t.Fatalf("in force %v, want %d", s.Generations(), high)
			}
		}
		listed := rapid.Uint64Range(0, 25).Draw(t, "shown")
		if reverted := s.Reverted(map[string]uint64{"label-drafts": listed}); (len(reverted) == 1) != (listed < high) {
			t.Fatalf("platform lists %d, in force %d: reverted %d", listed, high, len(reverted))
		}
		if reverted := s.Reverted(nil); len(reverted) != 1 || reverted[0].Generation() != high {
			t.Fatal("a document missing on the platform was not found")
		}
	})
}

// Guards against input that makes the parser panic, and against a parsed document that is invalid.
func TestParseTakesAnyInput(t *testing.T) {
	data, err := os.ReadFile("testdata/page.jsonc")
	is.New(t).NoErr(err)
	rapid.Check(t, func(t *rapid.T) {
		b := append([]byte(nil), data...)
		for range rapid.IntRange(1, 4).Draw(t, "edits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		d, err := document.Parse(b)
		if err == nil && document.Check(d) != nil {
			t.Fatal("a parsed document does not pass its own check")
		}
	})
}

// Guards against admitting a workspace that is not listed, or serving it with the weight of another.
func TestWorkspaceLookup(t *testing.T) {
	is := is.New(t)
	d := exampleDocument(t)
	is.True(len(d.Workspaces()) > 0 && !d.AllowsAllWorkspaces())
	for _, want := range d.Workspaces() {
		got, ok := d.Workspace(want.Name)
		is.True(ok)
		is.Equal(got, want)
	}
	_, ok := d.Workspace("nobody")
	is.True(!ok)
	is.True(document.Document{}.AllowsAllWorkspaces())
}
