package engine

import (
	"sync"
	"time"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	// Unresponsive mutes all open connections permanently. With Fault.New, it also mutes connections that
	// are made until the faults are cleared.
	Unresponsive FaultKind = "silent"
	// Slow delays every execution by Fault.DelayMS.
	Slow FaultKind = "slow"
	// Duplicate sends a token twice.
	Duplicate FaultKind = "duplicate"
	// Reorder sends a token after the next one.
	Reorder FaultKind = "reorder"
	// Foreign sends a token of another stream before the right one.
	Foreign FaultKind = "foreign"
	// Gap omits the last layer range from a receipt.
	Gap FaultKind = "gap"
	// Stale sends a token of the previous attempt before the right one.
	Stale FaultKind = "stale"
	// Skip omits the token of a position.
	Skip FaultKind = "skip"
	// Reset resets the connection instead of sending a token.
	Reset FaultKind = "reset"
	// Raw answers a request for a stream with Fault.Text, byte for byte, and closes the connection.
	Raw FaultKind = "raw"
)

// Fault is a fault to inject. Token faults apply to streams whose first stage is this engine.
type Fault struct {
	Fault FaultKind `json:"fault"`
	// Count is the number of tokens, or of streams for Raw, to affect. Zero affects all until the faults are cleared.
	Count int `json:"count"`
	// Stream limits the fault to one stream.
	Stream string `json:"stream"`
	// Position is the first position to affect.
	Position int  `json:"position"`
	DelayMS  int  `json:"delay_ms"`
	New      bool `json:"new"`
	// Text is what Raw sends.
	Text string `json:"text"`
}

type faultList struct {
	mu     sync.Mutex
	faults []*Fault
}

func (l *faultList) add(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, &f)
}

func (l *faultList) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = nil
}

func (l *faultList) list() []Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Fault, len(l.faults))
	for i, f := range l.faults {
		out[i] = *f
	}
	return out
}

// consume returns the first token fault that applies and decrements its count.
func (l *faultList) consume(stream string, position int) FaultKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, f := range l.faults {
		if f.Fault == Unresponsive || f.Fault == Slow || f.Fault == Raw || position < f.Position || (f.Stream != "" && f.Stream != stream) {
			continue
		}
		l.use(i)
		return f.Fault
	}
	return ""
}

// consumeRaw returns the text of the first fault Raw that applies and decrements its count.
func (l *faultList) consumeRaw(stream string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, f := range l.faults {
		if f.Fault == Raw && (f.Stream == "" || f.Stream == stream) {
			l.use(i)
			return f.Text, true
		}
	}
	return "", false
}

// use decrements the count of a fault and removes it after the last use. The caller holds the lock.
func (l *faultList) use(i int) {
	f := l.faults[i]
	if f.Count == 0 {
		return
	}
	if f.Count--; f.Count == 0 {
		l.faults = append(l.faults[:i:i], l.faults[i+1:]...)
	}
}

func (l *faultList) delay(stream string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var d time.Duration
	for _, f := range l.faults {
		if f.Fault == Slow && (f.Stream == "" || f.Stream == stream) {
			d += time.Duration(f.DelayMS) * time.Millisecond
		}
	}
	return d
}

func (l *faultList) mutesNewConns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.faults {
		if f.Fault == Unresponsive && f.New {
			return true
		}
	}
	return false
}
