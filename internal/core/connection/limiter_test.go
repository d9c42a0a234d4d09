package connection

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/standin/script"
)

// limiterCase runs the steps of a case.
type limiterCase struct {
	limiter *Limiter
	now     time.Time
	ids     map[string]ID
	names   map[ID]string
	closed  []string
}

func (c *limiterCase) close(closures []Closure) {
	for _, x := range closures {
		c.closed = append(c.closed, fmt.Sprintf("%s=%s", c.names[x.ID], x.Cause))
	}
}

func (c *limiterCase) expire(after time.Duration) {
	c.now = c.now.Add(after)
	c.close(c.limiter.Expire(c.now))
}

func limitsOf(fields []string) Limits {
	values := map[string]int64{}
	for _, f := range fields {
		name, value, _ := strings.Cut(f, "=")
		values[name], _ = strconv.ParseInt(value, 10, 64)
	}
	return Limits{
		HeadBytes: values["head"], HeadMemoryBytes: values["memory"], Connections: int(values["connections"]),
		HeadTimeout: time.Duration(values["head_ms"]) * time.Millisecond, IdleTimeout: time.Duration(values["idle_ms"]) * time.Millisecond,
	}
}

// step runs a step and returns what differs from what it expects.
func (c *limiterCase) step(line string) string {
	first, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	ms, _ := strconv.Atoi(rest)
	got := rest
	switch first {
	case "limits":
		c.limiter.SetLimits(limitsOf(strings.Fields(rest)))
	case "wait":
		for range ms / 50 {
			c.expire(50 * time.Millisecond)
		}
	case "stall":
		c.expire(time.Duration(ms) * time.Millisecond)
	case "closed":
		if got = strings.Join(c.closed, " "); got == "" {
			got = "nothing"
		}
		c.closed = nil
	case "memory":
		got = fmt.Sprint(c.limiter.HeadMemory())
	case "open":
		got = fmt.Sprint(c.limiter.Count())
	default:
		return c.use(first, rest)
	}
	if got != rest {
		return fmt.Sprintf("%s: got %s", line, got)
	}
	return ""
}

// use runs a step of the connection with the given name.
func (c *limiterCase) use(name, step string) string {
	verb, rest, _ := strings.Cut(step, " ")
	switch verb {
	case "opens":
		id, closures := c.limiter.Open(c.now, Options{Opaque: rest == "opaque", Reserved: rest == "reserved"})
		c.ids[name], c.names[id] = id, name
		c.close(closures)
	case "sends":
		count, quoted, _ := strings.Cut(rest, " ")
		n, _ := strconv.Atoi(count)
		text, err := strconv.Unquote(quoted)
		if err != nil {
			return step + ": " + err.Error()
		}
		c.close(c.limiter.Received(c.ids[name], []byte(strings.Repeat(text, n)), c.now))
	case "served":
		c.limiter.Served(c.ids[name], c.now)
	case "finished":
		c.limiter.Finished(c.ids[name], c.now)
	case "leaves":
		if got := c.limiter.Close(c.ids[name]); got != (rest == "yes") {
			return fmt.Sprintf("%s %s: got %t", name, step, got)
		}
	default:
		return step + ": unknown step"
	}
	return ""
}

// Guards against clients within the limits that are refused, and against unfinished heads and connections that take more than the
// process has.
func TestLimiter(t *testing.T) {
	cases, err := script.ReadCases("testdata/limiter.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			is := is.New(t)
			run := &limiterCase{limiter: NewLimiter(Limits{}), now: time.Unix(1_700_000_000, 0), ids: map[string]ID{}, names: map[ID]string{}}
			for line := range strings.Lines(c.Part("steps")) {
				is.Equal(run.step(line), "")
			}
		})
	}
}
