package objectapi

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Outage is the way in which the platform fails during an outage.
type Outage string

// The kinds of outages. No call takes effect during one.
const (
	NoOutage Outage = ""
	// Unavailable responds with status 503.
	Unavailable Outage = "unavailable"
	// Unresponsive accepts calls and never responds.
	Unresponsive Outage = "silent"
	// Closed closes the connection of each call without a response.
	Closed Outage = "closed"
)

// Faults holds the injected faults. Each affected write decrements one counter.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMS delays every call before its effect.
	DelayMS int `json:"delay_ms"`
	// MuteWatches withholds changes from watches, like a platform that becomes unavailable right after it
	// accepted a write.
	MuteWatches bool `json:"mute_watches"`
	// Kind limits the faults below to writes of one object kind.
	Kind string `json:"kind"`
	// FailWrites is the number of writes that fail with FailStatus (503 if zero) and take no effect.
	FailWrites int `json:"fail_writes"`
	FailStatus int `json:"fail_status"`
	// LoseAnswers is the number of writes that take effect but whose connection is closed without a response.
	LoseAnswers int `json:"lose_answers"`
	// LateAnswers is the number of writes that take effect at once and whose response is sent after LateMS.
	LateAnswers int `json:"late_answers"`
	// LateEffects is the number of writes that take effect after LateMS, even if the client has disconnected.
	LateEffects int `json:"late_effects"`
	LateMS      int `json:"late_ms"`
}

type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

type writeFault string

const (
	noFault      writeFault = ""
	failWrite    writeFault = "fail"
	loseResponse writeFault = "lose"
	lateResponse writeFault = "late answer"
	lateEffect   writeFault = "late effect"
)

// consume returns the fault for the next write of the kind and decrements its counter.
func (f *faultState) consume(kind string) (fault writeFault, status int, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.faults
	late = time.Duration(c.LateMS) * time.Millisecond
	status = c.FailStatus
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	if c.Kind != "" && c.Kind != kind {
		return noFault, status, late
	}
	counters := []struct {
		remaining *int
		fault     writeFault
	}{
		{&c.FailWrites, failWrite},
		{&c.LoseAnswers, loseResponse},
		{&c.LateEffects, lateEffect},
		{&c.LateAnswers, lateResponse},
	}
	for _, n := range counters {
		if *n.remaining > 0 {
			*n.remaining--
			return n.fault, status, late
		}
	}
	return noFault, status, late
}

// callCounter counts calls by method and object kind.
type callCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *callCounter) add(parts ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[strings.Join(parts, " ")]++
}

func (c *callCounter) snapshot(reset bool) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.counts))
	for k, n := range c.counts {
		counts[k] = n
	}
	if reset {
		clear(c.counts)
	}
	return counts
}
