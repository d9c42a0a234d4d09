package engine

import (
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7101", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against a fast path that decodes a line differently from encoding/json.
func TestFastTokenAgreesWithJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := struct {
			Stream   string  `json:"stream"`
			Attempt  int     `json:"attempt"`
			Position int     `json:"position"`
			Text     string  `json:"text"`
			Layers   [][]int `json:"layers"`
		}{
			rapid.String().Draw(t, "stream"),
			rapid.IntRange(-2, 1<<40).Draw(t, "attempt"),
			rapid.IntRange(-2, 1<<40).Draw(t, "position"),
			rapid.String().Draw(t, "text"),
			rapid.SliceOf(rapid.SliceOfN(rapid.IntRange(-1, 99), 1, 3)).Draw(t, "layers"),
		}
		line, err := json.Marshal(map[string]any{"token": w})
		if err != nil {
			t.Fatal(err)
		}
		// A changed byte usually makes the line malformed. Both paths must agree on that too.
		if rapid.Bool().Draw(t, "damage") {
			line[rapid.IntRange(0, len(line)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		fast, ok := (&parser{}).fastToken(line)
		if !ok {
			return
		}
		slow, err := (&parser{}).parseJSON(line)
		if err != nil {
			t.Fatalf("only the fast path accepts %q: %v", line, err)
		}
		if d, _ := json.Marshal(fieldsOf(fast)); string(d) != tokenJSON(t, slow) {
			t.Fatalf("the paths differ on %q", line)
		}
	})
}

func fieldsOf(t Token) []any {
	return []any{t.stream, t.attempt, t.position, t.text, t.layers}
}

func tokenJSON(t *rapid.T, e Event) string {
	token, ok := e.(Token)
	if !ok {
		t.Fatalf("not a token: %v", e)
	}
	d, err := json.Marshal(fieldsOf(token))
	if err != nil {
		t.Fatal(err)
	}
	return string(d)
}

// Guards against a fast path that is never taken, which would multiply the cost of a token.
func TestFastTokenApplies(t *testing.T) {
	is := is.New(t)
	p := &parser{}
	line := []byte(`{"token":{"stream":"s","attempt":3,"position":10,"text":" a","layers":[[0,8],[8,16]]}}`)
	first, ok := p.fastToken(line)
	is.True(ok)
	is.Equal(first.position, 10)
	is.Equal(first.attempt, 3)
	perToken := testing.AllocsPerRun(100, func() { _, _ = p.fastToken(line) })
	is.True(perToken <= 1) // for the text
}
