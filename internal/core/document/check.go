package document

import (
	"fmt"
	"regexp"
	"strings"
)

// namePattern restricts names to characters that are safe in URLs, object names and log fields.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

// maxPriority bounds the number of priority classes, because each class needs a queue per service.
const maxPriority = 15

var methods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

// Check returns the first violation in the document as an *Error, or nil.
func Check(d Document) error {
	return check(d.cfg, func(string) int { return 0 })
}

// checker records the first violation. Later checks do not replace it.
type checker struct {
	line func(path string) int
	err  *Error
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	c.err = &Error{Line: c.line(path), Field: path, Reason: fmt.Sprintf(format, args...)}
}

func (c *checker) name(value, path string) {
	c.require(value != "", path, "missing")
	c.require(namePattern.MatchString(value), path, "%q is not a name of letters, digits, '.', '_' and '-'", value)
}

func (c *checker) unique(seen map[string]bool, value, path string) {
	c.require(!seen[value], path, "%q is given twice", value)
	seen[value] = true
}

func check(cfg Config, line func(string) int) error {
	c := &checker{line: line}
	c.name(cfg.Service, "service")
	c.require(cfg.Kind != "", "kind", "missing")
	c.require(cfg.Kind == Pipeline || cfg.Kind == Plain, "kind", `%q is neither "pipeline" nor "plain"`, cfg.Kind)
	c.require(cfg.Owner != "", "owner", "missing")
	c.kindFields(cfg)
	c.endpoints(cfg.Endpoints)
	c.namedLists(cfg)
	c.require(cfg.Limits.Queue > 0, "limits.queue", "must be above 0")
	c.require(cfg.Limits.MaxTokens > 0, "limits.max_tokens", "must be above 0")
	c.require(cfg.Limits.TimeoutMs > 0, "limits.timeout_ms", "must be above 0")
	if c.err != nil {
		return c.err
	}
	return nil
}

func (c *checker) kindFields(cfg Config) {
	if cfg.Kind == Plain {
		c.require(cfg.Model == nil, "model", "a plain service has no model")
		c.require(len(cfg.Calls) > 0, "calls", "a plain service needs at least one call")
		return
	}
	c.require(len(cfg.Calls) == 0, "calls", "a pipeline service has no calls")
	c.require(cfg.Model != nil, "model", "a pipeline service needs a model")
	if cfg.Model == nil {
		return
	}
	c.name(cfg.Model.Name, "model.name")
	c.name(cfg.Model.Version, "model.version")
	c.require(cfg.Model.Layers > 0, "model.layers", "must be above 0")
	c.require(cfg.Model.LayerBytes > 0, "model.layer_bytes", "must be above 0")
	c.require(cfg.Model.KVBytesPerToken > 0, "model.kv_bytes_per_token", "must be above 0")
}

func (c *checker) endpoints(list []string) {
	c.require(len(list) > 0, "endpoints", "a service needs at least one endpoint")
	seen := map[string]bool{}
	for i, e := range list {
		path := fmt.Sprintf("endpoints[%d]", i)
		c.require(isAddress(e), path, "%q is not an IP address and port", e)
		c.unique(seen, e, path)
	}
}

func (c *checker) namedLists(cfg Config) {
	seen := map[string]bool{}
	for i, w := range cfg.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.name(w.Name, path+".name")
		c.unique(seen, w.Name, path+".name")
		c.require(w.Weight > 0, path+".weight", "must be above 0")
	}
	seen = map[string]bool{}
	for i, k := range cfg.Kinds {
		path := fmt.Sprintf("kinds[%d]", i)
		c.name(k.Name, path+".name")
		c.unique(seen, k.Name, path+".name")
		c.require(k.Priority >= 0 && k.Priority <= maxPriority, path+".priority", "must be from 0 to %d", maxPriority)
		c.require(k.FirstTokenMs >= 0, path+".first_token_ms", "must not be negative")
	}
	seen = map[string]bool{}
	for i, l := range cfg.Calls {
		path := fmt.Sprintf("calls[%d]", i)
		c.require(methods[l.Method], path+".method", "%q is not an HTTP method", l.Method)
		c.require(l.Path != "" && !strings.HasPrefix(l.Path, "/"), path+".path", "must be a path without a leading slash")
		c.unique(seen, l.Method+" "+l.Path, path+".path")
	}
}
