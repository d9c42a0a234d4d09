package engine

import "waxwingplank/internal/core/table"

// Event is one line of a stream: Token, Heartbeat, Done or Failure.
type Event interface{ event() }

// TokenConfig holds the fields of a Token.
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

// NewToken returns a token with the given fields.
func NewToken(cfg TokenConfig) Token {
	return Token{stream: cfg.Stream, attempt: cfg.Attempt, position: cfg.Position, text: cfg.Text, layers: cfg.Layers}
}

// Stream returns the stream that the engine stated. The receipt checker compares it with the expected one.
func (t Token) Stream() table.StreamID { return t.stream }

// Attempt returns the attempt that the engine stated.
func (t Token) Attempt() int { return t.attempt }

// Position returns the position of the token in the response, starting at 0.
func (t Token) Position() int { return t.position }

// Text returns the text of the token.
func (t Token) Text() string { return t.text }

// Layers returns the layer ranges that were run, in order. Tokens share the slice, so callers must not
// change it.
func (t Token) Layers() []table.Layers { return t.layers }

// Heartbeat shows that the engine still serves the stream although it has no token to send.
type Heartbeat struct{}

// Done ends a complete response.
type Done struct {
	tokens       int
	finishReason string
}

// NewDone returns the end of a response with the given number of tokens, counted from position 0.
func NewDone(tokens int, finishReason string) Done {
	return Done{tokens: tokens, finishReason: finishReason}
}

// Tokens returns the number of tokens in the complete response.
func (d Done) Tokens() int { return d.tokens }

// FinishReason returns why generation ended.
func (d Done) FinishReason() string { return d.finishReason }

// Failure ends an attempt that the engine could not complete.
type Failure struct {
	code    string
	message string
	stage   string
}

// NewFailure returns a failure of the stage that runs on the given endpoint.
func NewFailure(code, message, stage string) Failure {
	return Failure{code: code, message: message, stage: stage}
}

// Code returns the engine's error code.
func (f Failure) Code() string { return f.code }

// Message returns the human-readable explanation.
func (f Failure) Message() string { return f.message }

// Stage returns the endpoint whose stage failed, or an empty string if the engine did not state it.
func (f Failure) Stage() string { return f.stage }

func (Token) event()     {}
func (Heartbeat) event() {}
func (Done) event()      {}
func (Failure) event()   {}
