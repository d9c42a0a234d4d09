package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"waxwingplank/internal/core/outcome"

	"github.com/rotisserie/eris"
)

type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Code         outcome.Code    `json:"code"`
	Message      string          `json:"message"`
	Outcome      outcome.Outcome `json:"outcome"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	Address      string          `json:"address,omitempty"`
}

func refusal(code outcome.Code, message string, firstSend bool) *outcome.Refusal {
	return outcome.NewRefusal(outcome.RefusalConfig{
		Code:    code,
		Message: message,
		Facts:   outcome.Facts{FirstSend: firstSend},
	})
}

func isFirstSend(r *http.Request) bool { return r.Header.Get(HeaderAttempt) == "1" }

// asRefusal converts any error to a refusal. After an error of any other type the request may have reached
// an endpoint.
func asRefusal(err error) *outcome.Refusal {
	var r *outcome.Refusal
	if errors.As(err, &r) {
		return r
	}
	return outcome.NewRefusal(outcome.RefusalConfig{
		Code:    outcome.Internal,
		Message: err.Error(),
		Facts:   outcome.Facts{BytesSent: true},
	})
}

func errorBody(r *outcome.Refusal) refusalBody {
	return refusalBody{Error: refusalDetail{
		Code:         r.Code(),
		Message:      r.Message(),
		Outcome:      r.Outcome(),
		RetryAfterMs: r.RetryAfter().Milliseconds(),
		Address:      r.Address(),
	}}
}

func (h *Handler) refuse(w http.ResponseWriter, err error) {
	r := asRefusal(err)
	w.Header().Set(HeaderOutcome, string(r.Outcome()))
	if r.RetryAfter() > 0 {
		seconds := int64((r.RetryAfter() + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, Status(r.Code()), errorBody(r))
}

// Status returns the HTTP status for a refusal code.
func Status(code outcome.Code) int {
	switch code {
	case outcome.BadRequest, outcome.KeyInFuture:
		return http.StatusBadRequest
	case outcome.Unauthorized:
		return http.StatusUnauthorized
	case outcome.Forbidden:
		return http.StatusForbidden
	case outcome.NotFound:
		return http.StatusNotFound
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.Conflict, outcome.KeyUsed, outcome.KeyExpired:
		return http.StatusConflict
	case outcome.Quarantined:
		return http.StatusUnprocessableEntity
	case outcome.StreamLost:
		return http.StatusGone
	case outcome.QueueFull, outcome.NoCapacity, outcome.DeadlineTooShort:
		return http.StatusTooManyRequests
	case outcome.PlatformUnavailable, outcome.Leaving:
		return http.StatusServiceUnavailable
	case outcome.EndpointFailed:
		return http.StatusBadGateway
	case outcome.Timeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

// readBody reads the body within the limits on its size and time. The time limit keeps a caller that sends its
// body byte by byte from occupying a stream slot for long.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	ctl := http.NewResponseController(w)
	// The writer of a forwarded request has no connection of its own. The body of such a request is already in memory.
	_ = ctl.SetReadDeadline(time.Now().Add(h.cfg.BodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, h.cfg.MaxBodyBytes+1))
	if err == nil {
		// After a failure the deadline stays, because the server reads the rest of the body before it responds.
		_ = ctl.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refusal(outcome.BadRequest, "body: did not arrive in time", isFirstSend(r))
	}
	if err != nil {
		return nil, refusal(outcome.BadRequest, eris.Wrap(err, "body").Error(), isFirstSend(r))
	}
	if int64(len(body)) > h.cfg.MaxBodyBytes {
		return nil, refusal(outcome.TooLarge, "body is larger than the limit of this host", isFirstSend(r))
	}
	return body, nil
}

func (h *Handler) timeout(req Request) time.Duration {
	if req.Timeout > 0 {
		return min(req.Timeout, h.cfg.MaxRequestTime)
	}
	return h.cfg.MaxRequestTime
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
