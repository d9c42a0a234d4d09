package deployment

import "strconv"

// Class is the urgency of a request. 0 is the most urgent.
type Class int

// LowestClass is the least urgent class. Workers accept priorities from 0 to 9.
const LowestClass Class = 9

// ClassOf returns the class of a priority. Priorities out of range count as the nearest class.
func ClassOf(priority int) Class { return min(max(Class(priority), 0), LowestClass) }

// String returns the class as it is sent and logged.
func (c Class) String() string { return strconv.Itoa(int(c)) }

// Class returns the class of a route's request. The priority of its workspace, which may be nil, takes precedence over that of the
// route.
func (t *Table) Class(r *Route, w *Workspace) Class {
	if w != nil && w.Priority != nil {
		return ClassOf(*w.Priority)
	}
	return ClassOf(r.Priority)
}

// HasClasses reports whether the configuration has more than one class among the routes to a service and the workspaces.
func (t *Table) HasClasses(service string) bool { return t.classified[service] }

// classified returns the services with more than one class.
func classified(cfg Config) map[string]bool {
	type set [LowestClass + 1]bool
	var workspaces set
	for _, w := range cfg.Workspaces {
		if w.Priority != nil {
			workspaces[ClassOf(*w.Priority)] = true
		}
	}
	services := map[string]set{}
	for _, r := range cfg.Routes {
		for _, s := range r.Shares {
			classes, ok := services[s.Service]
			if !ok {
				classes = workspaces
			}
			classes[ClassOf(r.Priority)] = true
			services[s.Service] = classes
		}
	}
	out := map[string]bool{}
	for name, classes := range services {
		n := 0
		for _, present := range classes {
			if present {
				n++
			}
		}
		out[name] = n > 1
	}
	return out
}
