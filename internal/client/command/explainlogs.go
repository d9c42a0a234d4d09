package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"waxwingplank/internal/client/logs"
)

// standardInput is the name of the standard input among the log files.
const standardInput = "-"

// explainLogs explains a request, or counts all of them, from the logs of entry hosts.
func (c *explainCommand) explainLogs(s *session) error {
	collection, err := c.readLogs(s)
	if err != nil {
		return err
	}
	if n := collection.Unread(); n > 0 {
		s.note("%d lines could not be read", n)
	}
	if c.Summary {
		return s.printCounts(collection.Counts())
	}
	walk := collection.Walk(c.Args.Request)
	if s.opts.JSON {
		err = s.json(walkJSON(walk))
	} else {
		s.printWalk(walk)
	}
	if err == nil && !walk.Explained() {
		return fail(exitFailed, "request %s: the logs do not tell how it ended and why", c.Args.Request)
	}
	return err
}

func (c *explainCommand) readLogs(s *session) (*logs.Collection, error) {
	var readers []io.Reader
	for _, name := range c.Logs {
		if name == standardInput {
			readers = append(readers, s.cfg.Stdin)
			continue
		}
		f, err := os.Open(name) //nolint:gosec // The operator names the file.
		if err != nil {
			return nil, fail(exitBadInput, "%v", err)
		}
		defer func() { _ = f.Close() }() //nolint:errcheck // the file was only read
		readers = append(readers, f)
	}
	collection, err := logs.NewCollection(logs.CollectionConfig{Request: c.Args.Request}, readers...)
	if err != nil {
		return nil, fail(exitBadInput, "%v", err)
	}
	return collection, nil
}

func (s *session) printWalk(w logs.Walk) {
	if len(w.Steps()) > 0 {
		s.columns("TIME HOST STEP FIELDS", lineRows(w.Steps()))
	}
	if len(w.Context()) > 0 {
		s.printf("")
		s.columns("TIME HOST MEANWHILE FIELDS", lineRows(w.Context()))
	}
	s.printf("")
	s.printf("%s", strings.TrimSuffix(string(w.Ending())+": "+w.Cause(), ": "))
	for _, m := range w.Missing() {
		s.printf("missing: %s", m)
	}
}

func lineRows(lines []logs.Line) [][]string {
	var rows [][]string
	for _, l := range lines {
		rows = append(rows, []string{l.Time().UTC().Format(time.RFC3339Nano), l.Host(), l.Message(), fieldsText(l)})
	}
	return rows
}

func fieldsText(l logs.Line) string {
	// The fields were decoded from JSON, so encoding them cannot fail.
	text, _ := json.Marshal(l.Fields())
	return string(text)
}

func (s *session) printCounts(counts []logs.Count) error {
	total, unexplained := 0, 0
	rows := make([][]string, 0, len(counts))
	for _, n := range counts {
		total += n.Requests()
		unexplained += n.Unexplained()
		rows = append(rows, []string{string(n.Ending()), n.Cause(), fmt.Sprint(n.Requests()), fmt.Sprint(n.Unexplained()), n.Example()})
	}
	if s.opts.JSON {
		return s.json(countsJSON(counts))
	}
	s.columns("ENDING CAUSE REQUESTS UNEXPLAINED EXAMPLE", rows)
	s.printf("%d requests, %d of them not explained", total, unexplained)
	return nil
}

type lineJSON struct {
	Time    time.Time      `json:"time"`
	Host    string         `json:"host"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

type explainedJSON struct {
	Request string     `json:"request"`
	Ending  string     `json:"ending"`
	Cause   string     `json:"cause"`
	Steps   []lineJSON `json:"steps"`
	Context []lineJSON `json:"context"`
	Missing []string   `json:"missing"`
}

func walkJSON(w logs.Walk) explainedJSON {
	lines := func(list []logs.Line) []lineJSON {
		out := make([]lineJSON, 0, len(list))
		for _, l := range list {
			out = append(out, lineJSON{Time: l.Time(), Host: l.Host(), Message: l.Message(), Fields: l.Fields()})
		}
		return out
	}
	return explainedJSON{
		Request: w.Request(), Ending: string(w.Ending()), Cause: w.Cause(),
		Steps: lines(w.Steps()), Context: lines(w.Context()), Missing: w.Missing(),
	}
}

type countJSON struct {
	Ending      string `json:"ending"`
	Cause       string `json:"cause"`
	Requests    int    `json:"requests"`
	Unexplained int    `json:"unexplained"`
	Example     string `json:"example"`
}

func countsJSON(counts []logs.Count) []countJSON {
	out := make([]countJSON, 0, len(counts))
	for _, n := range counts {
		out = append(out, countJSON{
			Ending: string(n.Ending()), Cause: n.Cause(), Requests: n.Requests(), Unexplained: n.Unexplained(), Example: n.Example(),
		})
	}
	return out
}
