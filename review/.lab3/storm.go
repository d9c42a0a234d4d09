package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"waxwingplank/platform/standin"
)

const (
	// retention is history_retention_s of the deployment.
	retention = 20 * time.Second
	// turnedAway is for how long the store turns the host away, and versions and pause are those of the storm meanwhile.
	turnedAway = 7 * time.Second
	versions   = 12
	pause      = 350 * time.Millisecond
	// tenants and routes make a configuration of about 900 KB; the store takes 1,048,576 bytes.
	tenants  = 4900
	routes   = 2400
	maxValue = 1048576
)

// platformStore is the store with its history of 20 s. While away is set, it turns the hosts away with 503 and serves the operator.
type platformStore struct {
	store *standin.Store

	mu    sync.Mutex
	away  bool
	marks []mark
	turns int
}

// mark is the revision that the store had at a time.
type mark struct {
	at       time.Time
	revision int64
}

func (s *platformStore) set(name string, spec any) {
	s.store.Set("config", name, spec)
	o, _ := s.store.Get("config", name)
	if len(o.Spec) > maxValue {
		cannot("the configuration has %d bytes", len(o.Spec))
	}
	s.mu.Lock()
	s.marks = append(s.marks, mark{time.Now(), o.Metadata.Revision})
	s.mu.Unlock()
}

func (s *platformStore) turnAway(away bool) {
	s.mu.Lock()
	s.away = away
	s.mu.Unlock()
}

// oldest returns the revision from which the history is kept.
func (s *platformStore) oldest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := int64(0)
	for _, m := range s.marks {
		if time.Since(m.at) > retention {
			oldest = m.revision
		}
	}
	return oldest
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64); err == nil && from < s.oldest() {
		w.WriteHeader(http.StatusGone)
		return
	}
	s.store.ServeHTTP(w, r)
}

// bigConfiguration is a configuration with many routes and the given key.
func bigConfiguration(version int, keys ...string) map[string]any {
	c := configuration()
	all := c["routes"].([]map[string]any)
	for i := range routes {
		all = append(all, map[string]any{
			"name": fmt.Sprintf("route-%d", i), "host": fmt.Sprintf("h%d.example", i), "path_prefix": fmt.Sprintf("/r%d/", i), "kind": "safe", "timeout_ms": 800,
			"target_latency_ms": 300, "service": "registro", "max_attempts": 2, "priority": 2, "public": false, "resumable": false, "sticky": false,
		})
	}
	workspaces := []map[string]any{{"name": "one", "api_keys": keys}}
	for i := range tenants - 1 {
		workspaces = append(workspaces, map[string]any{"name": fmt.Sprintf("hule%04d", i), "api_keys": []string{fmt.Sprintf("n2ctnfzs989anu6w%04d", i)}})
	}
	c["version"], c["routes"], c["tenants"] = version, all, workspaces
	return c
}

// stormCase: the store turns the only host away while versions follow each other, one of which takes a key away.
func stormCase(l *lab) bool {
	s := &platformStore{store: l.store}
	l.server.Config.Handler = s
	s.set(configName, bigConfiguration(1, key, "key-2"))
	for i := range plainWorkers {
		l.newWorker(fmt.Sprintf("i-p%02d", i), "registro", zone(i), false)
	}
	l.newHosts(1)
	time.Sleep(time.Until(l.begun.Add(10 * time.Second)))
	if got := l.probe(key, "before"); got != http.StatusOK {
		cannot("the host answers %d before the disruption", got)
	}
	if l.trouble {
		l.note("TROUBLE: the store turns the host away")
		s.turnAway(true)
	}
	begun := time.Now()
	for v := range versions {
		time.Sleep(pause)
		keys := []string{"key-2"}
		if v < versions/2 {
			keys = append(keys, key)
		}
		s.set(configName, bigConfiguration(2+v, keys...))
	}
	acked := time.Now()
	o, _ := l.store.Get("config", configName)
	l.note("version %d of %d bytes is acknowledged, %s is gone", 1+versions, len(o.Spec), key)
	time.Sleep(time.Until(begun.Add(turnedAway)))
	s.turnAway(false)
	back := time.Now()
	l.note("the store serves the host")
	// The host is in touch once the store has been without disruption for the stability window.
	from := back.Add(stability)
	if bound := acked.Add(applyMs * time.Millisecond); bound.After(from) {
		from = bound
	}
	time.Sleep(time.Until(from))
	old, good, bad := 0, 0, 0
	for n := 0; time.Since(from) < 25*time.Second; n++ {
		sent := time.Now()
		switch got := l.probe(key, fmt.Sprintf("gone-%d", n)); got {
		case http.StatusOK:
			old++
			l.note("a request with %s, sent %v after its end was acknowledged and %v after the end of the disruption, runs", key, sent.Sub(acked).Round(time.Millisecond), sent.Sub(back).Round(time.Millisecond))
		case http.StatusUnauthorized:
			good++
		default:
			bad++
		}
		time.Sleep(100 * time.Millisecond)
	}
	text := fmt.Sprintf("requests with the key that was gone: %d ran, %d were refused with 401, %d ended otherwise", old, good, bad)
	l.note("%s", text)
	fmt.Println(text)
	if old+good == 0 {
		cannot("no request was answered")
	}
	return old > 0
}

// probe sends a lookup to the first host and returns the status.
func (l *lab) probe(key, id string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+l.hosts[0].front+"/l/"+id, nil)
	if err != nil {
		cannot("%v", err)
	}
	req.Host = modelHost
	req.Header.Set("X-Waxwingplank-Request-Id", id)
	req.Header.Set("X-Waxwingplank-Deadline-Ms", "700")
	req.Header.Set("Api-Key", key)
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		l.note("%s: %v", id, strings.TrimSpace(err.Error()))
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
