package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/outcome"
)

// The codes that only operators see.
const (
	BadDocument    outcome.Code = "bad_document"
	OutcomeUnknown outcome.Code = "outcome_unknown"
	NoPrecondition outcome.Code = "precondition_missing"
)

// headerOutcome says on every refusal whether the change took effect, as it does for callers.
const headerOutcome = "Request-Outcome"

// retryAfterMs is the pause proposed while the object API is down: its outages are long, and each
// try costs it a call.
const retryAfterMs = 1000

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail has the fields of a refusal to a caller, and those that only a document needs.
type ErrorDetail struct {
	Code         outcome.Code    `json:"code"`
	Message      string          `json:"message"`
	Outcome      outcome.Outcome `json:"outcome"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	// Line and Field tell where a document is bad.
	Line  int    `json:"line,omitempty"`
	Field string `json:"field,omitempty"`
	// Expected, Yours and Theirs tell about a conflict; Theirs is missing where no document is stored.
	Expected uint64          `json:"expected,omitempty"`
	Yours    json.RawMessage `json:"yours,omitempty"`
	Theirs   json.RawMessage `json:"theirs,omitempty"`
}

type detail = ErrorDetail

// refuse answers a request that changed nothing, or that may have where the code says so.
func refuse(w http.ResponseWriter, status int, d detail) {
	// A conditional write has no second copy that could take effect unseen, so each counts as first.
	d.Outcome = outcome.Classify(outcome.Facts{
		FirstSend: true,
		BytesSent: d.Code == OutcomeUnknown || d.Code == outcome.Internal,
	})
	w.Header().Set(headerOutcome, string(d.Outcome))
	if d.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, ErrorBody{Error: d})
}

func refuseError(w http.ResponseWriter, err error) {
	var conflict *Conflict
	var fault *document.Error
	var size *http.MaxBytesError
	switch {
	case errors.As(err, &conflict):
		refuse(w, http.StatusConflict, conflictDetail(conflict))
	case errors.As(err, &fault):
		refuse(w, http.StatusUnprocessableEntity, detail{
			Code: BadDocument, Message: fault.Reason, Line: fault.Line, Field: fault.Field,
		})
	case errors.As(err, &size):
		refuse(w, http.StatusRequestEntityTooLarge, detail{Code: outcome.TooLarge, Message: "the body is larger than the limit of this host"})
	case errors.Is(err, ErrNotFound):
		refuse(w, http.StatusNotFound, detail{Code: outcome.NotFound, Message: err.Error()})
	// ErrUnknown goes before ErrUnavailable and the deadline: an error that is both may have written.
	case errors.Is(err, ErrUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		refuse(w, http.StatusGatewayTimeout, detail{Code: OutcomeUnknown, Message: "outcome unknown: " + err.Error()})
	case errors.Is(err, ErrUnavailable):
		refuse(w, http.StatusServiceUnavailable, detail{Code: outcome.PlatformUnavailable, Message: err.Error(), RetryAfterMs: retryAfterMs})
	default:
		refuse(w, http.StatusInternalServerError, detail{Code: outcome.Internal, Message: err.Error()})
	}
}

func conflictDetail(c *Conflict) detail {
	d := detail{Code: outcome.Conflict, Message: c.Error(), Expected: c.expected}
	// A document that has been checked can always be encoded.
	d.Yours, _ = c.yours.Canonical()
	if c.theirs.Service() != "" {
		d.Theirs, _ = c.theirs.Canonical()
	}
	return d
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
