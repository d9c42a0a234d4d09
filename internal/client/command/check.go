package command

import (
	"context"
	"errors"
	"fmt"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/jsonc"
	"waxwingplank/internal/daemon/settings"
)

type checkCommand struct {
	baseCommand
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"settings file or service document"`
	} `positional-args:"yes"`
}

// checkResult is the result for one file.
type checkResult struct {
	File   string `json:"file"`
	Kind   string `json:"kind,omitempty"`
	OK     bool   `json:"ok"`
	Line   int    `json:"line,omitempty"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func (r checkResult) String() string {
	if r.OK {
		return fmt.Sprintf("%s: ok (%s)", r.File, r.Kind)
	}
	if r.Field == "" {
		return fmt.Sprintf("%s:%d: %s", r.File, r.Line, r.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", r.File, r.Line, r.Field, r.Reason)
}

func (c *checkCommand) run(_ context.Context, s *session) error {
	var results []checkResult
	bad := 0
	for _, path := range c.Args.Files {
		data, err := readFile(path)
		r := checkResult{File: path}
		if err != nil {
			r.Line, r.Reason = 1, err.Error()
		} else {
			r = checkData(path, data)
		}
		if !r.OK {
			bad++
		}
		results = append(results, r)
		if !s.opts.JSON {
			s.printf("%s", r)
		}
	}
	if s.opts.JSON {
		if err := s.json(results); err != nil {
			return err
		}
	}
	if bad > 0 {
		return fail(exitBadInput, "%d of %d files are bad", bad, len(results))
	}
	return nil
}

func checkData(path string, data []byte) checkResult {
	r := checkResult{File: path}
	var err error
	// Only service documents have the field service. All other objects are checked as settings.
	fields := map[string]any{}
	if _, err = jsonc.Decode(data, &fields); err == nil {
		if _, ok := fields["service"]; ok {
			r.Kind = "service document"
			_, err = document.Parse(data)
		} else {
			r.Kind = "settings"
			_, err = settings.Parse(data)
		}
	}
	r.OK = err == nil
	var documentErr *document.Error
	var jsoncErr *jsonc.Error
	switch {
	case err == nil:
	case errors.As(err, &documentErr):
		r.Line, r.Field, r.Reason = documentErr.Line, documentErr.Field, documentErr.Reason
	case errors.As(err, &jsoncErr):
		r.Line, r.Field, r.Reason = jsoncErr.Line(), jsoncErr.Field(), jsoncErr.Reason()
	default:
		r.Line, r.Reason = 1, err.Error()
	}
	return r
}
