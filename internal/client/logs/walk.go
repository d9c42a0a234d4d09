package logs

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Ending is how a request ended, as its lines tell.
type Ending string

// The endings of a request.
const (
	// Answered means that an endpoint's answer was passed on whole.
	Answered Ending = "answered"
	// Refused means that the host gave an answer of its own and the request has certainly not run.
	Refused Ending = "refused"
	// Failed means that the host gave an answer of its own and the request may have run.
	Failed Ending = "failed"
	// CutShort means that the host broke off an answer.
	CutShort Ending = "cut short"
	// CallerLeft means that the caller closed its connection first.
	CallerLeft Ending = "caller left"
	// Open means that no line tells the end.
	Open Ending = "open"
)

const (
	// msgDropped counts the lines that a host could not write.
	msgDropped = "log lines dropped"
	// contextBefore and contextAfter bound the lines about hosts and endpoints that are shown with a request. An endpoint
	// that fails leaves the list within three heartbeats of about a second.
	contextBefore = 3 * time.Second
	contextAfter  = 4 * time.Second
)

// Walk is what logs tell about one request.
type Walk struct {
	request string
	steps   []Line
	context []Line
	ending  Ending
	cause   string
	missing []string
}

// Request returns the id of the request.
func (w Walk) Request() string { return w.request }

// Steps returns the lines about the request, oldest first.
func (w Walk) Steps() []Line { return w.steps }

// Context returns lines about the endpoints and the host of the request from about the same time, oldest first. Of equal
// lines of several hosts only the first is included.
func (w Walk) Context() []Line { return w.context }

// Ending returns how the request ended.
func (w Walk) Ending() Ending { return w.ending }

// Cause returns what the lines give as the cause of the ending, or an empty string.
func (w Walk) Cause() string { return w.cause }

// Missing returns what the logs should tell but do not.
func (w Walk) Missing() []string { return w.missing }

// Explained reports whether the logs name the cause of the ending.
func (w Walk) Explained() bool { return w.ending != Open && w.cause != "" }

// NewWalk explains a request from the lines about it and from lines about no request.
func NewWalk(request string, about, others []Line) Walk {
	w := Walk{request: request, steps: slices.Clone(about), ending: Open}
	slices.SortStableFunc(w.steps, func(a, b Line) int { return a.time.Compare(b.time) })
	if len(w.steps) == 0 {
		w.missing = append(w.missing, "no line names the request: no host of these logs read it, or its lines were dropped")
		w.missing = append(w.missing, droppedLines(others, func(Line) bool { return true })...)
		return w
	}
	for _, step := range w.steps {
		if ending, ok := endingOf(step); ok {
			w.ending = ending
		}
	}
	w.cause = causeOf(w.ending, w.steps)
	first, last := w.steps[0], w.steps[len(w.steps)-1]
	near := func(l Line) bool {
		return !l.time.Before(first.time.Add(-contextBefore)) && !l.time.After(last.time.Add(contextAfter))
	}
	w.context = contextOf(w.steps, others, near)
	if w.ending == Open {
		w.missing = append(w.missing, fmt.Sprintf("no line tells how the request ended; the last one is %q of %s", last.message, last.host))
		w.missing = append(w.missing, droppedLines(others, func(l Line) bool { return l.host == last.host && near(l) })...)
	} else if w.cause == "" {
		w.missing = append(w.missing, "the lines do not name a cause")
	}
	return w
}

func endingOf(l Line) (Ending, bool) {
	switch l.message {
	case "answered":
		return Answered, true
	case "answered by host":
		if l.number("runs") > 0 {
			return Failed, true
		}
		return Refused, true
	case "answer cut short":
		return CutShort, true
	case "caller disconnected":
		return CallerLeft, true
	}
	return Open, false
}

// causeOf returns the cause of an ending. A stream that was late names the longest pause; a caller that left, what it
// waited for.
func causeOf(ending Ending, steps []Line) string {
	last := steps[len(steps)-1]
	switch ending {
	case Refused, Failed, CutShort:
		cause := last.text("cause")
		if trouble := lastTrouble(steps); trouble != "" {
			cause += "; " + trouble
		}
		return cause
	case Answered:
		if trouble := lastTrouble(steps); trouble != "" {
			return fmt.Sprintf("longest pause %.0f ms; %s", max(last.number("gap_ms"), last.number("first_ms")), trouble)
		}
		return "no trouble"
	case CallerLeft:
		waited := last.time.Sub(steps[0].time).Milliseconds()
		if trouble := lastTrouble(steps); trouble != "" {
			return fmt.Sprintf("left %d ms after the first line; %s", waited, trouble)
		}
		return fmt.Sprintf("left %d ms after the first line, while the endpoint was at work", waited)
	case Open:
	}
	return ""
}

// lastTrouble describes the last step at which an endpoint did not do what it should, or returns an empty string.
func lastTrouble(steps []Line) string {
	for _, l := range slices.Backward(steps) {
		switch l.message {
		case "stream stalled":
			return fmt.Sprintf("silent for %.0f ms, suspects %s, remedy %s", l.number("silence_ms"), list(l.fields["suspects"]), l.text("remedy"))
		case "endpoint refused":
			return "refused by " + firstOf(l.text("fault"), l.text("endpoint"), l.text("path"))
		case "attempt failed":
			return "attempt at " + firstOf(l.text("endpoint"), l.text("path")) + " failed: " + firstOf(l.text("error"), l.text("result"), "status "+fmt.Sprint(l.fields["status"]))
		case "no path":
			return "no path: " + l.text("cause")
		}
	}
	return ""
}

func firstOf(texts ...string) string {
	for _, t := range texts {
		if t != "" {
			return t
		}
	}
	return ""
}

func list(value any) string {
	items, ok := value.([]any)
	if !ok {
		return "none"
	}
	out := make([]string, len(items))
	for i, item := range items {
		out[i] = fmt.Sprint(item)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// contextOf returns the lines near a request about its endpoints or about its hosts.
func contextOf(steps, others []Line, near func(Line) bool) []Line {
	hosts, named := map[string]bool{}, ""
	for _, l := range steps {
		hosts[l.host] = true
		named += " " + l.text("path") + " " + l.text("to") + " " + l.text("endpoint") + " " + list(l.fields["suspects"])
	}
	var out []Line
	seen := map[string]bool{}
	for _, l := range others {
		endpoint := l.text("endpoint")
		concerns := (endpoint != "" && strings.Contains(named, endpoint)) || (endpoint == "" && hosts[l.host])
		if !near(l) || !concerns {
			continue
		}
		key := l.message + " " + endpoint + " " + l.text("state")
		if endpoint != "" && seen[key] {
			continue
		}
		seen[key] = true
		out = append(out, l)
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.time.Compare(b.time) })
	return out
}

func droppedLines(others []Line, concerns func(Line) bool) []string {
	var out []string
	for _, l := range others {
		if l.message == msgDropped && concerns(l) {
			out = append(out, fmt.Sprintf("%s dropped %.0f lines before %s", l.host, l.number("lines"), l.time.Format(time.RFC3339Nano)))
		}
	}
	return out
}
