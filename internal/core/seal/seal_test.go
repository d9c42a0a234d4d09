package seal

import (
	"bytes"
	"errors"
	"flag"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingplank/internal/core/table"
)

// The seed is fixed so that failures are reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func key(b byte) []byte { return bytes.Repeat([]byte{b}, keyBytes) }

func sealer(t testing.TB, keys ...[]byte) *Sealer {
	t.Helper()
	s, err := New(Config{Keys: keys, Random: rand.NewChaCha8([32]byte{1})})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func resumePointConfig() ResumePointConfig {
	return ResumePointConfig{
		Service: "label-drafts", Workspace: "exporter-a", Stream: "s-1", Route: "e1+e2+e3",
		Attempt: 3, Position: 41, Body: DigestOf([]byte("body")), Chain: Chain{}.Next("a").Next("b"),
	}
}

// Guards against a host that resumes a stream at a position other than the sealed one.
func TestRoundTrip(t *testing.T) {
	s := sealer(t, key(1))
	name := rapid.StringN(0, 40, maxNameBytes)
	rapid.Check(t, func(t *rapid.T) {
		point := ResumePointConfig{
			Service:   table.ServiceID(name.Draw(t, "service")),
			Workspace: table.WorkspaceID(name.Draw(t, "workspace")),
			Stream:    table.StreamID(name.Draw(t, "stream")),
			Route:     name.Draw(t, "route"),
			Attempt:   rapid.IntRange(0, 1<<31).Draw(t, "attempt"),
			Position:  rapid.IntRange(0, 1<<31).Draw(t, "position"),
			Body:      DigestOf([]byte(name.Draw(t, "body"))),
			Chain:     Chain{}.Next(name.Draw(t, "text")),
		}
		id, err := s.Seal(NewResumePoint(point))
		if err != nil {
			t.Fatal(err)
		}
		got, err := s.Open(id)
		if err != nil || got.cfg != point {
			t.Fatalf("got %+v, %v; want %+v", got.cfg, err, point)
		}
	})
}

// Guards against a key rotation after which streams sealed with the older key cannot be resumed.
func TestRotation(t *testing.T) {
	is := is.New(t)
	old := sealer(t, key(1))
	both := sealer(t, key(2), key(1))
	id, err := old.Seal(NewResumePoint(resumePointConfig()))
	is.NoErr(err)
	point, err := both.Open(id)
	is.NoErr(err)
	is.Equal(point.Position(), 41)
	id, err = both.Seal(NewResumePoint(resumePointConfig()))
	is.NoErr(err)
	_, err = old.Open(id) // the newest key seals
	is.True(errors.Is(err, ErrInvalid))
	_, err = sealer(t, key(2)).Open(id)
	is.NoErr(err)
}

// Guards against accepting an altered id, and against input that makes Open panic.
func TestAlteredIDs(t *testing.T) {
	is := is.New(t)
	s := sealer(t, key(1))
	id, err := s.Seal(NewResumePoint(resumePointConfig()))
	is.NoErr(err)
	raw, err := encoding.DecodeString(id)
	is.NoErr(err)
	for i := range raw {
		bad := bytes.Clone(raw)
		bad[i] ^= 1
		_, err := s.Open(encoding.EncodeToString(bad))
		is.True(errors.Is(err, ErrInvalid)) // every byte is authenticated
		_, err = s.Open(encoding.EncodeToString(raw[:i]))
		is.True(errors.Is(err, ErrInvalid)) // every truncation is rejected
	}
	for _, bad := range []string{"", "!", strings.Repeat("A", 4096)} {
		_, err := s.Open(bad)
		is.True(errors.Is(err, ErrInvalid))
	}
}

// Guards against a caller who resumes another workspace's stream, or one with another body.
func TestCheck(t *testing.T) {
	is := is.New(t)
	point := NewResumePoint(resumePointConfig())
	is.NoErr(point.Check("exporter-a", "label-drafts", DigestOf([]byte("body"))))
	is.True(errors.Is(point.Check("exporter-b", "label-drafts", DigestOf([]byte("body"))), ErrForeign))
	is.True(errors.Is(point.Check("exporter-a", "other", DigestOf([]byte("body"))), ErrForeign))
	is.True(errors.Is(point.Check("exporter-a", "label-drafts", DigestOf([]byte("else"))), ErrForeign))
}

// Guards against using a nonce twice with one key, which would break the encryption.
func TestNoncesDiffer(t *testing.T) {
	is := is.New(t)
	p, err := sealer(t, key(1)).Prepare(NewResumePoint(resumePointConfig()))
	is.NoErr(err)
	seen := map[string]bool{}
	for i := range 1000 {
		if i%100 == 0 {
			is.NoErr(p.Reroute(NewResumePoint(resumePointConfig())))
		}
		raw, err := encoding.DecodeString(p.Seal(7, Chain{}))
		is.NoErr(err)
		head := string(raw[:headerBytes])
		is.True(!seen[head])
		seen[head] = true
	}
}

// Guards against accepting no keys, a key of the wrong length or duplicate keys.
func TestBadKeys(t *testing.T) {
	for _, keys := range [][][]byte{nil, {key(1)[:16]}, {key(1), key(1)}} {
		_, err := New(Config{Keys: keys, Random: rand.NewChaCha8([32]byte{})})
		is.New(t).True(err != nil)
	}
}

func BenchmarkPreparedSeal(b *testing.B) {
	p, err := sealer(b, key(1)).Prepare(NewResumePoint(resumePointConfig()))
	if err != nil {
		b.Fatal(err)
	}
	chain := Chain{}.Next("a")
	b.ReportAllocs()
	for b.Loop() {
		p.Seal(1, chain)
	}
}

func BenchmarkChainNext(b *testing.B) {
	var chain Chain
	b.ReportAllocs()
	for b.Loop() {
		chain = chain.Next(" token")
	}
}

func BenchmarkOpen(b *testing.B) {
	s := sealer(b, key(1))
	id, err := s.Seal(NewResumePoint(resumePointConfig()))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Open(id); err != nil {
			b.Fatal(err)
		}
	}
}
