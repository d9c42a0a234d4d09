package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/outcome"
)

// The refusal codes that only the operator interface uses.
const (
	BadDocument    outcome.Code = "bad_document"
	OutcomeUnknown outcome.Code = "outcome_unknown"
	NoPrecondition outcome.Code = "precondition_missing"
)

// headerOutcome is set on every refusal, as for callers, and says whether the change took effect.
const headerOutcome = "Request-Outcome"

// retryAfterMs is the retry delay proposed while the object API is unavailable. Its outages are long, and each
// attempt costs it a call.
const retryAfterMs = 1000

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail has the fields of a refusal to a caller, and further fields for service documents.
type ErrorDetail struct {
	Code         outcome.Code    `json:"code"`
	Message      string          `json:"message"`
	Outcome      outcome.Outcome `json:"outcome"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	// Line and Field locate the error in an invalid document.
	Line  int    `json:"line,omitempty"`
	Field string `json:"field,omitempty"`
	// Expected, Yours and Theirs describe a conflict: the generation that the change is based on, the submitted
	// document and the stored document. Theirs is missing if no document is stored.
	Expected uint64          `json:"expected,omitempty"`
	Yours    json.RawMessage `json:"yours,omitempty"`
	Theirs   json.RawMessage `json:"theirs,omitempty"`
}

type detail = ErrorDetail

// refuse writes a refusal. Its outcome says that the request changed nothing, or that it may have, depending on
// the code.
func refuse(w http.ResponseWriter, status int, d detail) {
	// Writes are conditional, so no other copy of the request can take effect unnoticed: each counts as a first send.
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
	var invalid *document.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &conflict):
		refuse(w, http.StatusConflict, conflictDetail(conflict))
	case errors.As(err, &invalid):
		refuse(w, http.StatusUnprocessableEntity, detail{
			Code: BadDocument, Message: invalid.Reason, Line: invalid.Line, Field: invalid.Field,
		})
	case errors.As(err, &tooLarge):
		refuse(w, http.StatusRequestEntityTooLarge, detail{Code: outcome.TooLarge, Message: "the body is larger than the limit of this host"})
	case errors.Is(err, ErrNotFound):
		refuse(w, http.StatusNotFound, detail{Code: outcome.NotFound, Message: err.Error()})
	// This case precedes ErrUnavailable, because a write that failed with both errors may have taken effect.
	case errors.Is(err, ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		refuse(w, http.StatusGatewayTimeout, detail{Code: OutcomeUnknown, Message: "outcome unknown: " + err.Error()})
	case errors.Is(err, ErrUnavailable):
		refuse(w, http.StatusServiceUnavailable, detail{Code: outcome.PlatformUnavailable, Message: err.Error(), RetryAfterMs: retryAfterMs})
	default:
		refuse(w, http.StatusInternalServerError, detail{Code: outcome.Internal, Message: err.Error()})
	}
}

func conflictDetail(c *Conflict) detail {
	d := detail{Code: outcome.Conflict, Message: c.Error(), Expected: c.expected}
	// Both documents have been validated, so encoding them cannot fail.
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
