package edge

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/daemon/follow"
	"waxwingplank/internal/peer/exchange"
	"waxwingplank/internal/standin/script"
)

// fakePlatform decodes configurations that are a version, and any endpoint.
type fakePlatform struct{ Platform }

func (fakePlatform) ConfigName() string { return "main" }

func (fakePlatform) DecodeConfig(value []byte) (deployment.Config, error) {
	var version int64
	err := json.Unmarshal(value, &version)
	return deployment.Config{Version: version}, err
}

func (fakePlatform) DecodeEndpoint(name string, _ []byte) (deployment.Endpoint, error) {
	return deployment.Endpoint{ID: name, State: deployment.Ready}, nil
}

// viewNet holds the views of a case and the last response that each received.
type viewNet struct {
	views map[string]*view
	last  map[string]*exchange.State
}

func (n *viewNet) view(name string) *view {
	if n.views[name] == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		n.views[name] = &view{
			platform: fakePlatform{}, log: log, onTable: func(*deployment.Table) {}, onEndpoints: func([]deployment.Endpoint) {},
			startTime: time.Now(), trustedAge: 2 * time.Second, removals: map[string]int64{},
		}
	}
	return n.views[name]
}

func objects(words []string) (out []follow.Object) {
	for _, w := range words {
		name, version, _ := strings.Cut(w, "=")
		v, err := strconv.ParseInt(version, 10, 64)
		if err != nil {
			panic(err)
		}
		out = append(out, follow.Object{Name: name, Version: v, Value: json.RawMessage("{}")})
	}
	return out
}

// step carries out one line of a case and returns what it found wrong.
func (n *viewNet) step(line string) string {
	words := strings.Fields(line)
	name, verb, args := words[0], words[1], words[2:]
	v, now := n.view(name), time.Now()
	check := func(got, want string) string {
		if got != want {
			return fmt.Sprintf("%s: got %q", line, got)
		}
		return ""
	}
	switch verb {
	case "store":
		revision, err := strconv.ParseInt(args[0], 10, 64)
		if err != nil {
			return err.Error()
		}
		v.endpointsChanged(follow.State{Objects: objects(args[1:]), Revision: revision, Confirmed: now, Changed: true})
	case "config":
		v.configChanged(follow.State{Objects: []follow.Object{{Name: "main", Value: json.RawMessage(args[0])}}, Confirmed: now, Changed: true})
	case "asks", "follows":
		request, response := &exchange.State{Follows: verb == "follows"}, &exchange.State{}
		v.fillState(request, now)
		peer := n.view(args[0])
		peer.fillState(response, now)
		if newer := peer.newerFor(request); newer != nil {
			response.Newer = *newer
		}
		v.receive(response, now)
		n.last[name] = response
	case "reports":
		response := &exchange.State{}
		peer := n.view(args[0])
		peer.fillState(response, now)
		report := &exchange.State{}
		if newer := v.newerFor(response); newer != nil {
			report.Newer = *newer
		}
		peer.receiveReport(report)
	case "waits":
		v.startTime = v.startTime.Add(-staleStartWait)
	case "aged":
		seconds, err := time.ParseDuration(args[0] + "s")
		if err != nil {
			return err.Error()
		}
		v.confirmed, v.configConfirmed = v.confirmed.Add(-seconds), v.configConfirmed.Add(-seconds)
	case "has":
		var got []string
		for _, o := range slices.Sorted(maps.Keys(v.objects)) {
			got = append(got, fmt.Sprintf("%s=%d", o, v.objects[o].Version))
		}
		if !v.listed {
			got = []string{"nothing"}
		}
		return check(strings.Join(got, " "), strings.Join(args, " "))
	case "got":
		got := "nothing"
		if s := n.last[name].Endpoints; s != nil && s.Since == 0 {
			got = "complete"
		} else if s != nil {
			got = "changes"
		}
		return check(got, args[0])
	case "confirmed":
		got := "no"
		if v.endpointsAge(now) < time.Second {
			got = "yes"
		}
		return check(got, args[0])
	case "configured":
		got := int64(0)
		if v.table != nil {
			got = v.table.Version()
		}
		return check(strconv.FormatInt(got, 10), args[0])
	default:
		return line + ": unknown step"
	}
	return ""
}

// Guards against lists of endpoints and configurations that peers bring up to date wrongly: with entries missing, or
// with ones that are gone.
func TestViews(t *testing.T) {
	cases, err := script.ReadCases("testdata/views.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			is := is.New(t)
			n := &viewNet{views: map[string]*view{}, last: map[string]*exchange.State{}}
			for line := range strings.Lines(c.Part("steps")) {
				is.Equal(n.step(line), "")
			}
		})
	}
}
