package document

import (
	"errors"
	"fmt"

	"waxwingplank/internal/core/jsonc"
)

// Error describes an invalid field of a document. Line is 0 if the document was not parsed from text.
type Error struct {
	Line   int
	Field  string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("document: field %q: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("document: line %d: field %q: %s", e.Line, e.Field, e.Reason)
}

// maxBytes bounds the size of a document; the object API accepts values of up to 1 MB.
const maxBytes = 1 << 20

// Defaults for limits that a document omits.
const (
	defaultQueue     = 512
	defaultMaxTokens = 4096
	defaultTimeoutMs = 60_000
)

// Parse parses and validates a document in JSON with comments; every error is an *Error.
func Parse(data []byte) (Document, error) {
	if len(data) > maxBytes {
		return Document{}, &Error{Line: 1, Reason: fmt.Sprintf("longer than %d bytes", maxBytes)}
	}
	cfg := Config{Limits: Limits{Queue: defaultQueue, MaxTokens: defaultMaxTokens, TimeoutMs: defaultTimeoutMs}}
	file, err := jsonc.Decode(data, &cfg)
	if err != nil {
		return Document{}, asError(err)
	}
	for i := range cfg.Workspaces {
		if !file.Has(fmt.Sprintf("workspaces[%d].weight", i)) {
			cfg.Workspaces[i].Weight = 1
		}
	}
	if err := check(cfg, file.Line); err != nil {
		return Document{}, err
	}
	return Document{cfg: cfg}, nil
}

func asError(err error) error {
	var fault *jsonc.Error
	if errors.As(err, &fault) {
		return &Error{Line: fault.Line(), Field: fault.Field(), Reason: fault.Reason()}
	}
	return &Error{Line: 1, Reason: err.Error()}
}
