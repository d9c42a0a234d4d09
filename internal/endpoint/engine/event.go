package engine

import "waxwingplank/internal/core/table"

// Event is one line of a stream: Token, Heartbeat, Done or Failure.
type Event interface{ event() }

// TokenConfig describes a Token.
type TokenConfig struct {
	Stream   table.StreamID
	Attempt  int
	Position int
	Text     string
	Layers   []table.Layers
}

// Token is a generated token with its receipt.
type Token struct {
	stream   table.StreamID
	attempt  int
	position int
	text     string
	layers   []table.Layers
}

// NewToken returns a token.
func NewToken(cfg TokenConfig) Token {
	return Token{stream: cfg.Stream, attempt: cfg.Attempt, position: cfg.Position, text: cfg.Text, layers: cfg.Layers}
}

// Stream returns the stream that the engine named; the receipt checker compares it.
func (t Token) Stream() table.StreamID { return t.stream }

// Attempt returns the attempt that the engine named.
func (t Token) Attempt() int { return t.attempt }

// Position returns the position of the token in the answer, from 0.
func (t Token) Position() int { return t.position }

// Text returns the text.
func (t Token) Text() string { return t.text }

// Layers returns the layer ranges run, in order. Tokens share the slice; callers must not change it.
func (t Token) Layers() []table.Layers { return t.layers }

// Heartbeat shows that the engine still serves the stream while no token is due.
type Heartbeat struct{}

// Done ends a whole answer.
type Done struct {
	tokens       int
	finishReason string
}

// NewDone returns the end of an answer with the given number of tokens, counted from position 0.
func NewDone(tokens int, finishReason string) Done {
	return Done{tokens: tokens, finishReason: finishReason}
}

// Tokens returns the number of tokens of the whole answer.
func (d Done) Tokens() int { return d.tokens }

// FinishReason returns why the answer ended.
func (d Done) FinishReason() string { return d.finishReason }

// Failure ends an attempt that the engine could not complete.
type Failure struct {
	code    string
	message string
	stage   string
}

// NewFailure returns a failure of the stage that runs on the named endpoint.
func NewFailure(code, message, stage string) Failure {
	return Failure{code: code, message: message, stage: stage}
}

// Code returns the engine's code.
func (f Failure) Code() string { return f.code }

// Message returns the explanation for a person.
func (f Failure) Message() string { return f.message }

// Stage returns the endpoint whose stage failed, or an empty string where the engine did not know.
func (f Failure) Stage() string { return f.stage }

func (Token) event()     {}
func (Heartbeat) event() {}
func (Done) event()      {}
func (Failure) event()   {}
