package logs

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is far above the longest line of a host, a report on the capacity of many workers.
const maxLineBytes = 4 << 20

// Line is one log line of a host.
type Line struct {
	host    string
	time    time.Time
	message string
	request string
	fields  map[string]any
}

// Host returns the host that wrote the line.
func (l Line) Host() string { return l.host }

// Time returns when the line was written, by the clock of its host.
func (l Line) Time() time.Time { return l.time }

// Message returns the message of the line.
func (l Line) Message() string { return l.message }

// Request returns the id of the request that the line is about, or an empty string.
func (l Line) Request() string { return l.request }

// Fields returns the other fields. Callers must not change them.
func (l Line) Fields() map[string]any { return l.fields }

// text returns a field that is a string, or an empty string.
func (l Line) text(name string) string {
	s, ok := l.fields[name].(string)
	if !ok {
		return ""
	}
	return s
}

// number returns a field that is a number, or zero.
func (l Line) number(name string) float64 {
	n, ok := l.fields[name].(float64)
	if !ok {
		return 0
	}
	return n
}

// Read passes each line of a log to handle. The log may be compressed with gzip, and what a collector wrote before the
// opening brace of a line is ignored. It returns how many lines could not be read.
func Read(r io.Reader, handle func(Line)) (unread int, err error) {
	reader := bufio.NewReader(r)
	if magic, err := reader.Peek(2); err == nil && magic[0] == 0x1f && magic[1] == 0x8b {
		unzipped, err := gzip.NewReader(reader)
		if err != nil {
			return 0, eris.Wrap(err, "logs.Read")
		}
		reader = bufio.NewReader(unzipped)
	}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var last Line
	for scanner.Scan() {
		line, err := parse(scanner.Bytes(), last)
		switch {
		case errors.Is(err, errNoObject):
		case err != nil:
			unread++
		default:
			handle(line)
			last = line
		}
	}
	return unread, eris.Wrap(scanner.Err(), "logs.Read")
}

// errNoObject is the error for a line without a JSON object, which a host did not write.
var errNoObject = errors.New("no JSON object")

// parse reads a line. A line without host and time, such as the one that counts lost lines, has those of the line before.
func parse(text []byte, before Line) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errNoObject
	}
	l := Line{fields: map[string]any{}}
	if err := json.Unmarshal(text[start:], &l.fields); err != nil {
		return Line{}, err
	}
	l.host, l.message, l.request = l.text("host"), l.text("msg"), l.text("request")
	if l.host == "" {
		l.host = before.host
	}
	l.time = before.time
	if text := l.text("time"); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return Line{}, err
		}
		l.time = at
	}
	for _, name := range []string{"host", "msg", "request", "time", "level", "decision"} {
		delete(l.fields, name)
	}
	return l, nil
}
