package journal

import (
	"io"
	"strings"
	"sync"
	"time"

	"waxwingplank/internal/core/table"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// maxRequests bounds the number of requests whose lines are kept for Explain. At 11,000 requests/s on 410 hosts,
// each host receives 27 requests/s, so 4,096 requests cover the last two and a half minutes in under 4 MB.
const maxRequests = 4096

// maxLinesPerRequest bounds the lines kept for one request, so that a request that is retried for its whole lifetime
// cannot use unbounded memory.
const maxLinesPerRequest = 32

// The fields that associate a line with a request; a stream has the identifier of the request that opened it.
const (
	requestField  = "request"
	streamField   = "stream"
	decisionField = "decision"
)

// hook stores the lines of each request that are not decisions, whichever part of the daemon logged them.
type hook struct{ journal *Journal }

// Levels implements logrus.Hook.
func (hook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h hook) Fire(entry *logrus.Entry) error {
	if _, decision := entry.Data[decisionField]; decision {
		// Record has already stored the decision.
		return nil
	}
	id := idOf(entry.Data[requestField])
	if id == "" {
		id = idOf(entry.Data[streamField])
	}
	if id == "" {
		return nil
	}
	h.journal.addLine(id, Line{Time: entry.Time, Decision: entry.Message, Fields: explainFields(entry.Data)})
	return nil
}

// explainFields returns the fields of a line that Explain shows.
func explainFields(data Fields) Fields {
	fields := Fields{}
	for name, value := range data {
		if name == "host" || name == requestField || name == decisionField {
			continue
		}
		if err, ok := value.(error); ok {
			// An error has no exported fields, so it would be encoded as an empty object.
			value = err.Error()
		}
		fields[name] = value
	}
	return fields
}

func idOf(v any) string {
	switch x := v.(type) {
	case string:
		return x
	case table.StreamID:
		return string(x)
	case table.RequestID:
		return string(x)
	default:
		return ""
	}
}

// Fields holds the structured values of a log line.
type Fields = logrus.Fields

// Config describes a Journal.
type Config struct {
	Writer io.Writer
	// Level is a logrus level name; empty means info.
	Level string
	Host  table.HostID
}

// Line is one stored log line of a request; Decision is the decision or the message.
type Line struct {
	Time     time.Time `json:"time"`
	Decision string    `json:"decision"`
	Fields   Fields    `json:"fields"`
}

// Journal writes JSON lines and stores the lines of recent requests; it is safe for concurrent use.
type Journal struct {
	entry *logrus.Entry

	mu    sync.Mutex
	lines map[table.RequestID][]Line
	order []table.RequestID
}

// New returns a Journal; the error names an unknown level.
func New(cfg Config) (*Journal, error) {
	logger := logrus.New()
	logger.SetOutput(cfg.Writer)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if cfg.Level != "" {
		level, err := logrus.ParseLevel(cfg.Level)
		if err != nil {
			return nil, eris.Wrapf(err, "journal.New: level %q", cfg.Level)
		}
		logger.SetLevel(level)
	}
	j := &Journal{
		entry: logger.WithField("host", string(cfg.Host)),
		lines: map[table.RequestID][]Line{},
	}
	logger.AddHook(hook{journal: j})
	return j, nil
}

// Log returns the logger for lines that are not decisions.
func (j *Journal) Log() *logrus.Entry { return j.entry }

// Decision records a decision and writes its line; an empty request means that it belongs to none.
func (j *Journal) Decision(request table.RequestID, decision string, fields Fields) {
	j.Record(request, decision, fields).Write()
}

// Record is a decision that is stored for Explain but not yet written.
type Record struct {
	journal  *Journal
	request  table.RequestID
	decision string
	fields   Fields
	at       time.Time
}

// Record stores a decision for Explain. The caller writes its line with Write, and can respond to the request first,
// since writing a line takes longer than making the decision.
func (j *Journal) Record(request table.RequestID, decision string, fields Fields) Record {
	r := Record{journal: j, request: request, decision: decision, fields: fields, at: time.Now()}
	if request != "" {
		j.addLine(string(request), Line{Time: r.at, Decision: decision, Fields: explainFields(fields)})
	}
	return r
}

// Write writes the log line of the decision, with the time at which it was recorded.
func (r Record) Write() {
	entry := r.journal.entry.WithFields(r.fields).WithField(decisionField, r.decision).WithTime(r.at)
	if r.request != "" {
		entry = entry.WithField(requestField, string(r.request))
	}
	entry.Info(r.decision)
}

// Explain returns the stored lines of a request, oldest first.
func (j *Journal) Explain(request table.RequestID) []Line {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Line(nil), j.lines[request]...)
}

func (j *Journal) addLine(id string, line Line) {
	// Routing appends a slash and a number to the identifier for each further dispatch of a request.
	id, _, _ = strings.Cut(id, "/")
	request := table.RequestID(id)
	j.mu.Lock()
	defer j.mu.Unlock()
	lines, ok := j.lines[request]
	if !ok {
		j.order = append(j.order, request)
	}
	if len(j.order) > maxRequests {
		delete(j.lines, j.order[0])
		j.order = j.order[1:]
	}
	if len(lines) < maxLinesPerRequest {
		j.lines[request] = append(lines, line)
	}
}
