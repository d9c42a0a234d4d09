package run

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/endpoint/http1"
)

// Guards against giving a caller a malformed answer that a host of an earlier version recorded, and against refusing a sound one.
func TestRecordedResponse(t *testing.T) {
	for _, status := range []int{0, 1, 99, 101, 1000} {
		is := is.New(t)
		_, err := recordedResponse(claim.NewAnswer(claim.AnswerConfig{Status: status, Body: []byte("body")}))
		var malformed *http1.MalformedError
		is.True(errors.As(err, &malformed))
		is.Equal(malformed.Defect(), http1.InvalidStatus)
	}
	for _, status := range []int{200, 409, 599, 999} {
		is := is.New(t)
		got, err := recordedResponse(claim.NewAnswer(claim.AnswerConfig{Status: status, ContentType: "text/lot", Body: []byte("body")}))
		is.NoErr(err)
		is.Equal(got.Status, status)
		is.Equal(string(got.Body), "body")
		is.True(got.Recorded)
	}
	is := is.New(t)
	_, err := recordedResponse(claim.NewAnswer(claim.AnswerConfig{Status: 200, Body: []byte(strings.Repeat("x", claim.MaxAnswerBytes+1))}))
	is.True(err != nil)
}
