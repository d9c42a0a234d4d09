package claim

import "crypto/sha256"

// MaxAnswerBytes is the size in bytes of the largest body that is recorded in full. The limit keeps
// the shard object small, because every write of the shard repeats its inline answers.
const MaxAnswerBytes = 512

// maxContentTypeBytes bounds the Content-Type value recorded with a body.
const maxContentTypeBytes = 100

// AnswerConfig describes an Answer.
type AnswerConfig struct {
	Status      int
	ContentType string
	Body        []byte
}

// Answer is the recorded response that is returned for a repeated key in place of a second run.
type Answer struct {
	status      uint16
	contentType string
	body        []byte
	complete    bool
}

// NewAnswer returns the answer to record. A body longer than MaxAnswerBytes, or one with a longer
// content type than can be recorded, is replaced by its SHA-256 digest.
func NewAnswer(cfg AnswerConfig) Answer {
	a := Answer{status: uint16(cfg.Status), contentType: cfg.ContentType, complete: true}
	if len(cfg.Body) > MaxAnswerBytes || len(cfg.ContentType) > maxContentTypeBytes {
		sum := sha256.Sum256(cfg.Body)
		a.contentType, a.body, a.complete = "", sum[:], false
		return a
	}
	a.body = append([]byte(nil), cfg.Body...)
	return a
}

// Status returns the HTTP status code of the answer.
func (a Answer) Status() int { return int(a.status) }

// ContentType returns the content type of a complete answer.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body if the answer is complete, otherwise its SHA-256 digest.
func (a Answer) Body() []byte { return a.body }

// Complete reports whether the body itself was recorded, and not only its digest.
func (a Answer) Complete() bool { return a.complete }
