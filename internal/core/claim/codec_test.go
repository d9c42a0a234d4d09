package claim_test

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/storage"
)

// Guards against a panic or a grant on a shard object whose content is damaged.
func TestDamagedObject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(claim.Config{Shards: 1})
		h := s.addHost("a", 0)
		k := s.newKey("k")
		id := s.ask(h, k, false)
		value := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "value")
		if rapid.Bool().Draw(t, "version byte") {
			value = append([]byte{1}, value...)
		}
		h.calls = nil
		h.inbox = append(h.inbox, claim.NewShardRead(0, claim.CallConfig{Status: storage.OK, Version: 1, Value: value}))
		s.tick(h)
		if r, ok := s.results[id]; ok && r.Status() == claim.Granted {
			t.Fatal("granted without a write")
		}
	})
}

// Guards against an answer over 512 B that is recorded in part, and against a key that is accepted
// without an issue time.
func TestLimits(t *testing.T) {
	is := is.New(t)
	large := claim.NewAnswer(claim.AnswerConfig{Status: 200, Body: bytes.Repeat([]byte("x"), claim.MaxAnswerBytes+1)})
	is.True(!large.Complete())
	is.Equal(len(large.Body()), 32)
	for _, text := range []string{"", "-", "12", "12-", "x-1", "99999999999-1", "0-1"} {
		_, err := claim.NewKey(claim.KeyConfig{Text: text})
		is.True(err != nil)
	}
}

// Guards against a shard that can never be written again: answers that accumulate during an outage
// would make its object larger than the 1 MB that the object API accepts.
func TestManyAnswers(t *testing.T) {
	is := is.New(t)
	s := newSim(claim.Config{Shards: 1})
	h := s.addHost("a", 0)
	var events []claim.Event
	for i := range 4000 {
		k := s.newKey(strconv.Itoa(i))
		id := s.ask(h, k, false)
		body := bytes.Repeat([]byte("x"), claim.MaxAnswerBytes)
		events = append(events, claim.NewAnswerGiven(k, claim.NewAnswer(claim.AnswerConfig{Status: 201, Body: body})))
		if i == 3999 {
			s.settle(h)
			is.Equal(s.results[id].Status(), claim.Granted)
		}
	}
	h.inbox = append(h.inbox, events...)
	s.tick(h)
	s.settle(h)
	is.True(s.store.largest < 1_000_000)
	other := s.addHost("b", 0)
	other.inbox = append(other.inbox, claim.NewRequested(9999, s.keys[0]), claim.NewRequested(9998, s.keys[3999]))
	s.owners[9999], s.owners[9998] = owner{host: other, key: s.keys[0]}, owner{host: other, key: s.keys[3999]}
	s.tick(other)
	s.settle(other)
	is.Equal(s.results[9999].Status(), claim.Answered)
	is.Equal(s.results[9998].Status(), claim.Answered)
}

// Guards against accepting keys with an issue time out of range: their entries would be kept
// indefinitely or dropped while the key can still be claimed.
func TestAge(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		age  time.Duration
		want claim.Status
	}{
		{0, claim.Granted},
		{2 * time.Hour, claim.Granted},
		{2*time.Hour + time.Second, claim.Expired},
		{-5 * time.Minute, claim.Granted},
		{-5*time.Minute - time.Second, claim.InFuture},
	}
	for _, c := range cases {
		s := newSim(claim.Config{Shards: 1})
		h := s.addHost("a", 0)
		k := s.newKey("k")
		s.now = s.now.Add(c.age)
		id := s.ask(h, k, false)
		s.settle(h)
		is.Equal(s.results[id].Status(), c.want)
	}
}
