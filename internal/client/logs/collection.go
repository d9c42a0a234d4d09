package logs

import (
	"io"
	"slices"
)

// Collection holds the lines of many hosts.
type Collection struct {
	requests map[string][]Line
	order    []string
	others   []Line
	unread   int
}

// CollectionConfig configures a Collection.
type CollectionConfig struct {
	// Request is the only request whose lines are kept; empty means all.
	Request string
}

// NewCollection reads the logs of hosts.
func NewCollection(cfg CollectionConfig, readers ...io.Reader) (*Collection, error) {
	c := &Collection{requests: map[string][]Line{}}
	for _, r := range readers {
		unread, err := Read(r, func(l Line) {
			switch {
			case l.request == "":
				c.others = append(c.others, l)
			case cfg.Request == "" || cfg.Request == l.request:
				if c.requests[l.request] == nil {
					c.order = append(c.order, l.request)
				}
				c.requests[l.request] = append(c.requests[l.request], l)
			}
		})
		if err != nil {
			return nil, err
		}
		c.unread += unread
	}
	return c, nil
}

// Unread returns the number of lines that could not be read.
func (c *Collection) Unread() int { return c.unread }

// Walk explains one request.
func (c *Collection) Walk(request string) Walk {
	return NewWalk(request, c.requests[request], c.others)
}

// Count is the number of requests that ended in one way for one cause.
type Count struct {
	ending   Ending
	cause    string
	requests int
	example  string
	unclear  int
}

// Ending returns how the requests ended.
func (c Count) Ending() Ending { return c.ending }

// Cause returns the first part of the cause of the ending, such as the name of a refusal.
func (c Count) Cause() string { return c.cause }

// Requests returns the number of requests.
func (c Count) Requests() int { return c.requests }

// Example returns the id of one of the requests.
func (c Count) Example() string { return c.example }

// Unexplained returns the number of the requests whose cause the logs do not name.
func (c Count) Unexplained() int { return c.unclear }

// Counts returns how the requests of the collection ended, the most frequent ending first.
func (c *Collection) Counts() []Count {
	type key struct {
		ending Ending
		cause  string
	}
	index := map[key]int{}
	var out []Count
	for _, id := range c.order {
		// Lines about hosts explain nothing that the lines of the request do not count under.
		w := NewWalk(id, c.requests[id], nil)
		k := key{w.ending, w.shortCause()}
		i, ok := index[k]
		if !ok {
			i = len(out)
			index[k] = i
			out = append(out, Count{ending: k.ending, cause: k.cause, example: id})
		}
		out[i].requests++
		if !w.Explained() {
			out[i].unclear++
		}
	}
	slices.SortStableFunc(out, func(a, b Count) int { return b.requests - a.requests })
	return out
}

// shortCause returns the cause without ids and figures, by which requests are counted.
func (w Walk) shortCause() string {
	last := Line{}
	if len(w.steps) > 0 {
		last = w.steps[len(w.steps)-1]
	}
	if cause := last.text("cause"); cause != "" {
		return cause
	}
	for _, l := range slices.Backward(w.steps) {
		switch l.message {
		case "stream stalled", "endpoint refused", "attempt failed", "no path":
			return l.message
		}
	}
	return ""
}
