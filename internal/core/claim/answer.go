package claim

import "crypto/sha256"

// MaxAnswerBytes is the largest body recorded whole; it keeps the shard object small, since every
// grouped write carries it again.
const MaxAnswerBytes = 512

// maxContentTypeBytes bounds the header value kept with a body.
const maxContentTypeBytes = 100

// AnswerConfig describes an Answer.
type AnswerConfig struct {
	Status      int
	ContentType string
	Body        []byte
}

// Answer is what a repeated key gets instead of a second run.
type Answer struct {
	status      uint16
	contentType string
	body        []byte
	whole       bool
}

// NewAnswer returns the answer to record; a body over MaxAnswerBytes is replaced by its digest.
func NewAnswer(cfg AnswerConfig) Answer {
	a := Answer{status: uint16(cfg.Status), contentType: cfg.ContentType, whole: true}
	if len(cfg.Body) > MaxAnswerBytes || len(cfg.ContentType) > maxContentTypeBytes {
		sum := sha256.Sum256(cfg.Body)
		a.contentType, a.body, a.whole = "", sum[:], false
		return a
	}
	a.body = append([]byte(nil), cfg.Body...)
	return a
}

// Status returns the HTTP status code of the answer.
func (a Answer) Status() int { return int(a.status) }

// ContentType returns the content type of a whole answer.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body if the answer is whole, otherwise its SHA-256 digest.
func (a Answer) Body() []byte { return a.body }

// Whole reports whether the body was recorded.
func (a Answer) Whole() bool { return a.whole }
