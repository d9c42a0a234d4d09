package claim_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"waxwingplank/internal/core/claim"
)

// script runs the commands of one file against a sim with one shard.
type script struct {
	*sim
	byName map[string]claim.Key
	ids    map[string]uint64
}

// Guards against the failures described in the first lines of each script under testdata.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			cfg := smallConfig()
			cfg.Shards = 1
			s := &script{sim: newSim(cfg), byName: map[string]claim.Key{}, ids: map[string]uint64{}}
			for i, line := range strings.Split(string(archive.Files[0].Data), "\n") {
				f := strings.Fields(line)
				if len(f) == 0 {
					continue
				}
				if failure := s.run(f); failure != "" {
					t.Fatalf("line %d: %s: %s", i+1, line, failure)
				}
				if s.failure != "" {
					t.Fatalf("line %d: %s: %s", i+1, line, s.failure)
				}
			}
		})
	}
}

func (s *script) host(name string) *host {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == name })
	if i < 0 {
		return s.addHost(name, 0)
	}
	return s.hosts[i]
}

func (s *script) key(name string) claim.Key {
	k, ok := s.byName[name]
	if !ok {
		k = s.newKey(name)
		s.byName[name] = k
	}
	return k
}

func (s *script) run(f []string) string {
	switch f[0] {
	case "pass":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			return err.Error()
		}
		s.now = s.now.Add(d)
		for _, h := range s.hosts {
			s.tick(h)
		}
		return ""
	case "clock": // clock HOST OFFSET
		d, err := time.ParseDuration(f[2])
		if err != nil {
			return err.Error()
		}
		s.host(f[1]).offset = d
		return ""
	case "land":
		if len(s.late) == 0 {
			return "no late call"
		}
		s.applyLate(0)
		return ""
	case "want": // want REQUEST STATUS
		got := "waiting"
		if r, ok := s.results[s.ids[f[1]]]; ok {
			got = string(r.Status())
		}
		if got != f[2] {
			return "got " + got
		}
		return ""
	case "segments":
		if got := fmt.Sprint(len(s.segmentNames())); got != f[1] {
			return "got " + got
		}
		return ""
	}
	return s.runOnHost(s.host(f[1]), f)
}

func (s *script) runOnHost(h *host, f []string) string {
	switch f[0] {
	case "claim", "refuse": // claim HOST KEY REQUEST
		s.ids[f[3]] = s.ask(h, s.key(f[2]), f[0] == "refuse")
	case "withdraw": // withdraw HOST KEY REQUEST
		h.inbox = append(h.inbox, claim.NewWithdrawn(s.ids[f[3]], s.key(f[2])))
		s.tick(h)
	case "answer": // answer HOST KEY
		h.inbox = append(h.inbox, claim.NewAnswerGiven(s.key(f[2]), answerOf(s.key(f[2]))))
		s.tick(h)
	case "end": // end HOST HOW: the oldest call in flight
		if len(h.calls) == 0 {
			return "no call in flight"
		}
		s.end(h, 0, callEnding(f[2]))
	case "calls": // calls HOST NUMBER
		if got := fmt.Sprint(len(h.calls)); got != f[2] {
			return "got " + got
		}
	case "rest": // every call of the host ends normally
		s.settle(h)
	case "pause", "resume":
		h.paused = f[0] == "pause"
		s.tick(h)
	case "restart":
		s.restart(h)
	case "sweep":
		h.inbox = append(h.inbox, claim.NewSegmentsListed(s.segmentNames()))
		s.tick(h)
	default:
		return "unknown command"
	}
	return ""
}
